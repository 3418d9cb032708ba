// Package route chooses the backend server of a request in three stages: filter, score, pick.
//
// A Table holds the known servers and what was observed of them, a Router decides. Neither reads a clock, and neither is safe for
// concurrent use.
package route

import (
	"time"

	"github.com/juju/errors"
)

// Kinds of backend servers.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Lifecycles of backend servers. Only a ready one gets new work.
const (
	LifecycleJoining = "joining"
	LifecycleReady   = "ready"
	LifecycleLeaving = "leaving"
	LifecycleGone    = "gone"
)

// MaxTiers is the number of tiers that load reports distinguish; all lower tiers are counted under the last one.
const MaxTiers = 8

const (
	// ErrUnknownModel means no backend server of the model, version and adapter is known.
	ErrUnknownModel = errors.ConstError("no backend server serves the model")
	// ErrNoCandidate means backend servers of the model are known, but all are excluded or unavailable.
	ErrNoCandidate = errors.ConstError("no backend server of the model takes the request")
)

// Backend is a backend server as it registered itself.
type Backend struct {
	ID          string
	Incarnation string
	Address     string
	Kind        string // KindEngine or KindService
	Model       string // for a service: its name
	Version     string
	Adapters    []string
	Zone        string
	Lifecycle   string
	Role        string
	Slots       int
}

// Load is the last load report of a backend server.
type Load struct {
	Seq             uint64 // the sender's sequence number; a report that isn't newer than the last one is ignored; 0: not numbered
	Slots           int
	Running         int
	Waiting         int
	QueueLimit      int
	HasDisplaceable bool
	LowestTier      int           // lowest tier that can be displaced; valid with HasDisplaceable
	TokenInterval   time.Duration // between two tokens of a request
	FirstToken      time.Duration // expected time to the first token for a new request of the lowest tier
	WaitingByTier   [MaxTiers]int // zero if the reporter does not distinguish tiers
	RunningByTier   [MaxTiers]int // zero if the reporter does not distinguish tiers
	Slowdown        float64       // how long work takes at the moment, relative to its usual time; 0: not stated
}

// Result is how an attempt ended.
type Result uint8

const (
	// OK means the attempt completed.
	OK Result = iota + 1
	// Refused means the agent did not accept the request.
	Refused
	// Failed means the attempt broke off or timed out.
	Failed
	// Unreachable means no connection could be established.
	Unreachable
)

// Outcome is the result of an attempt.
type Outcome struct {
	Result     Result
	FirstToken time.Duration // time to the first token without the wait in the server's queue; valid with OK
}

// Request holds the attributes of a request that routing depends on.
type Request struct {
	Kind         string
	Model        string
	Adapter      string // empty: none
	Version      string // empty: any
	Role         string // empty: any
	Zone         string // of the routing process
	Tier         int
	PromptTokens int
	Prefix       []uint64 // hashes of the prompt's prefixes, shortest first
	Exclude      []string // backend servers already tried
	Regions      Regions  // to whose servers the request may go

	FirstTokenTarget time.Duration // zero: none
	PrefillPerToken  time.Duration // time to compute one prompt token of the waiting requests; zero: unknown

	// The following fields are used by PolicySessionLanes only.
	Session   uint64        // shared by requests whose prompts have a long common prefix; 0: none
	GapTarget time.Duration // for the gap between tokens, which determines the lane; 0: any server
}
