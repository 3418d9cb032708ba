// Package control serves what entries, agents and operators ask of the control group: watches of settings and keys,
// freshness, the registry of backend servers, and commands for the replicated log.
package control

import (
	"context"
	"encoding/json"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

// Outcome is what became of a command that was applied.
type Outcome struct {
	Index  uint64
	Result json.RawMessage
}

// Member is one voter of the control group.
type Member struct {
	ID      string
	Address string
}

// Group is the replicated log as this package needs it.
type Group interface {
	// Propose commits a command; on a member that doesn't lead it fails with a NotLeaderError. After an error with
	// the verdict NotRun the command never will be committed; after any other it may be.
	Propose(ctx context.Context, data []byte) (Outcome, error)
	// ReadIndex returns an index that no earlier answered command is above, confirmed by a quorum after the call began.
	ReadIndex(ctx context.Context) (uint64, error)
	// WaitApplied waits until this member has applied index.
	WaitApplied(ctx context.Context, index uint64) error
	// View calls f while no command is applied.
	View(f func())
	// Leader returns the leader as far as this member knows.
	Leader() (Member, bool)
	// Self returns this member.
	Self() Member
	// Applied returns a channel that gets a value, now and then at least, after commands were applied.
	Applied() (events <-chan struct{}, cancel func())
}

// NotLeaderError says that another member, if any, takes commands.
type NotLeaderError struct {
	Leader Member // empty: not known
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader.ID == "" {
		return "no leader is known"
	}
	return "the leader is " + e.Leader.ID
}

// Unwrap returns the verdict that nothing was committed.
func (e *NotLeaderError) Unwrap() error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: "not_leader", Message: e.Error()}
}
