// Package verdict classifies errors by whether the request may have run.
//
// Every error that can reach a caller carries a Verdict. The default is MayHaveRun. NotRun requires proof: an agent's answer that
// the request has not started and never will, or the fact that the entry never sent it.
package verdict

import (
	"fmt"

	"github.com/juju/errors"
)

// Verdict states whether a request was executed.
type Verdict uint8

const (
	// MayHaveRun means there is no proof that the request did not run. It is the zero value.
	MayHaveRun Verdict = iota
	// NotRun means the request did not start and never will.
	NotRun
	// Ran means the request started at a backend server.
	Ran
)

// String returns the external form: not_run, may_have_run or ran.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// Parse is the inverse of String. For an unknown text it returns MayHaveRun and an error.
func Parse(s string) (Verdict, error) {
	switch s {
	case "not_run":
		return NotRun, nil
	case "ran":
		return Ran, nil
	case "may_have_run":
		return MayHaveRun, nil
	default:
		return MayHaveRun, errors.NotValidf("verdict %q", s)
	}
}

// MayRepeat reports whether a request may be retried: it did not run, or it is repeatable and no part of its answer was
// delivered.
func (v Verdict) MayRepeat(repeatable, delivered bool) bool {
	if v == NotRun {
		return true
	}
	return repeatable && !delivered
}

// Error is an error with a verdict and a stable code for callers and logs.
type Error struct {
	Verdict Verdict
	Code    string // machine-readable, snake case
	Message string
	Cause   error // may be nil
}

// Error returns the message, followed by the cause if there is one.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Message
	}
	return fmt.Sprintf("%s: %v", e.Message, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an error with the given verdict, code and formatted message.
func New(v Verdict, code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Of returns the verdict that err carries, or MayHaveRun if it carries none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
