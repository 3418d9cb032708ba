// Package control implements the RPC service of a control member for entries, gateways, relays, agents and the other members:
// watches of settings and keys, freshness queries, the registry of backend servers, and commands for the replicated log.
package control

import (
	"context"
	"encoding/json"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

// Outcome is the log index and the result of a committed command.
type Outcome struct {
	Index  uint64
	Result json.RawMessage
}

// Member is one member of the control group.
type Member struct {
	ID      string
	Address string
}

// Group is the interface to the replicated log that this package needs.
type Group interface {
	// Propose commits a command. On a member that does not lead it fails with a *NotLeaderError. After an error with the verdict
	// NotRun the command will never be committed; after any other error it may be.
	Propose(ctx context.Context, data []byte) (Outcome, error)
	// ReadIndex returns an index at or above that of every command that was answered before the call, confirmed by a quorum
	// round that started after the call.
	ReadIndex(ctx context.Context) (uint64, error)
	// WaitApplied waits until this member has applied index.
	WaitApplied(ctx context.Context, index uint64) error
	// View calls f while no command or snapshot is being applied.
	View(f func())
	// Leader returns the leader known to this member, or false if none is known.
	Leader() (Member, bool)
	// Self returns this member.
	Self() Member
	// Applied returns a channel that receives a value after commands were applied. Several commands may share one value.
	Applied() (events <-chan struct{}, cancel func())
}

// NotLeaderError is returned for a command to a member that does not lead.
type NotLeaderError struct {
	Leader Member // empty: unknown
}

// Error returns a message that names the leader, if known.
func (e *NotLeaderError) Error() string {
	if e.Leader.ID == "" {
		return "no leader is known"
	}
	return "the leader is " + e.Leader.ID
}

// Unwrap returns the equivalent verdict.Error, with the verdict NotRun.
func (e *NotLeaderError) Unwrap() error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: "not_leader", Message: e.Error()}
}
