package replica

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

var (
	// ErrUnknownOutcome means that a proposal may or may not be committed.
	ErrUnknownOutcome = verdict.New(verdict.MayHaveRun, "unknown_outcome", "the change may or may not be committed")
	// ErrClosed means that the replica is not running; nothing was proposed.
	ErrClosed = verdict.New(verdict.NotRun, "replica_closed", "the replica is closed")
	// ErrDiskFull means that the free space on the leader's disk is below Config.MinFreeBytes; nothing was proposed.
	ErrDiskFull = verdict.New(verdict.NotRun, "disk_full", "the disk of the control group's leader is full")
	// ErrTransferInProgress means that the leader is transferring its leadership; nothing was proposed.
	ErrTransferInProgress = verdict.New(verdict.NotRun, "handing_over", "a leadership transfer is in progress")
	// ErrNotProposed means that the context ended before anything was proposed.
	ErrNotProposed = verdict.New(verdict.NotRun, "not_proposed", "the change was not proposed in time")
)

// ErrLocked is returned by Open if another process uses the data directory.
const ErrLocked = errors.ConstError("data directory is in use by another process")

// NotLeaderError is returned for a proposal to a member that does not lead. Nothing was proposed.
type NotLeaderError struct {
	Leader  uint64 // 0: unknown
	Address string
}

// Error returns a message that names the leader, if known.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; member %d at %s leads", e.Leader, e.Address)
}

// Unwrap returns the equivalent verdict.Error, with the verdict NotRun.
func (e *NotLeaderError) Unwrap() error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: "not_leader", Message: e.Error()}
}
