package replica

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

var (
	// ErrUnknownOutcome means that a proposal may still be committed.
	ErrUnknownOutcome = verdict.New(verdict.MayHaveRun, "unknown_outcome", "the change may or may not be committed")
	// ErrClosed means that the replica does not run; nothing was proposed.
	ErrClosed = verdict.New(verdict.NotRun, "replica_closed", "the replica is closed")
	// ErrDiskFull means that the leader's disk has no room for changes; nothing was proposed.
	ErrDiskFull = verdict.New(verdict.NotRun, "disk_full", "the disk of the control group's leader is full")
	// ErrHandingOver means that the leader is handing over; nothing was proposed.
	ErrHandingOver = verdict.New(verdict.NotRun, "handing_over", "the leadership is being handed over")
	// ErrNotProposed means that the context ended before anything was proposed.
	ErrNotProposed = verdict.New(verdict.NotRun, "not_proposed", "the change was not proposed in time")
)

// ErrLocked is the cause when another process uses the data folder.
const ErrLocked = errors.ConstError("data folder is in use by another process")

// NotLeaderError answers a proposal at a member that does not lead. Nothing was committed.
type NotLeaderError struct {
	Leader  uint64 // 0: unknown
	Address string
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; member %d at %s leads", e.Leader, e.Address)
}

// Unwrap returns the verdict that nothing was committed.
func (e *NotLeaderError) Unwrap() error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: "not_leader", Message: e.Error()}
}
