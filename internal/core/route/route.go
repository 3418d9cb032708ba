// Package route chooses the backend server of a request in named stages: filter, score, pick.
//
// The data store (Table) is apart from the decision (Router). Neither reads a clock nor is safe for concurrent use.
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

// MaxTiers is the number of tiers that load reports tell apart; lower ones count as the last.
const MaxTiers = 8

const (
	// ErrUnknownModel means no backend server of the model, version and adapter is known.
	ErrUnknownModel = errors.ConstError("no backend server serves the model")
	// ErrNoCandidate means backend servers of the model are known, but all are excluded or take no work.
	ErrNoCandidate = errors.ConstError("no backend server of the model takes the request")
)

// Backend is one backend server as it announced itself.
type Backend struct {
	ID          string
	Incarnation string
	Address     string
	Kind        string // KindEngine or KindService
	Model       string // of a service: its name
	Version     string
	Adapters    []string
	Zone        string
	Lifecycle   string
	Role        string
	Slots       int
}

// Load is the last load report of a backend server.
type Load struct {
	Seq             uint64 // of the report at its sender; one that a later report has overtaken is ignored; 0: not numbered
	Slots           int
	Running         int
	Waiting         int
	QueueLimit      int
	HasDisplaceable bool
	LowestTier      int           // lowest tier displaceable there; valid with HasDisplaceable
	TokenInterval   time.Duration // between two tokens of one request
	FirstToken      time.Duration // expected for an arrival of the lowest tier
	WaitingByTier   [MaxTiers]int // zero where the reporter tells no tiers apart
	RunningByTier   [MaxTiers]int // zero where the reporter tells no tiers apart
}

// Result is how an attempt ended.
type Result uint8

const (
	// OK means the attempt was answered.
	OK Result = iota + 1
	// Refused means the agent did not take the request.
	Refused
	// Failed means the attempt broke off or timed out.
	Failed
	// Unreachable means that no connection came about.
	Unreachable
)

// Outcome is the end of an attempt.
type Outcome struct {
	Result     Result
	FirstToken time.Duration // from the start at the backend server, without the wait in its queue; with OK
}

// Request is what the router knows of a request.
type Request struct {
	Kind         string
	Model        string
	Adapter      string // empty: none wanted
	Version      string // empty: any
	Role         string // empty: any
	Zone         string // of the entry
	Tier         int
	PromptTokens int
	Prefix       []uint64 // hashes of the prompt's prefixes, shortest first
	Exclude      []string // backend servers already tried

	FirstTokenTarget time.Duration // zero: none

	// The rest is for PolicySessionLanes.
	Session      uint64 // what requests with the same long beginning of their prompts share; 0: nothing
	Lane         Lane
	TightServers int // number of servers in the tight lane; 0: the servers are not split
}
