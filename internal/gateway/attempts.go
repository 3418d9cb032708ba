package gateway

import (
	"net/http"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/verdict"
)

// attemptOutcome is the result of one attempt.
type attemptOutcome struct {
	sent       bool            // the request may have reached the server
	ran        bool            // it may have run
	status     int             // of the server's answer; set with done
	done       bool            // the answer was sent to the caller, as far as it still reads
	heldAnswer *bufferedAnswer // a server's answer that is sent only if no further attempt follows; nil: none
	refusal    *refusal        // the gateway's answer if no further attempt follows and heldAnswer is nil
}

// attempts is the state of the attempts at one exchange so far.
type attempts struct {
	sent       int
	ran        bool     // one of them may have run the request
	exclude    []string // ids of the servers tried
	stream     *streamWriter
	current    *attempt
	place      *place          // in the fair queue of the service; nil: none
	backup     route.Backend   // keeps a backup of the current run; zero: none
	next       route.Backend   // resumes the run from its backup; zero: choose a server
	heldAnswer *bufferedAnswer // the latest answer that was held back; nil: none
	refusal    *refusal
}

// record adds the outcome of an attempt.
func (t *attempts) record(server string, o attemptOutcome) {
	t.exclude = append(t.exclude, server)
	if o.sent {
		t.sent++
	}
	t.ran = t.ran || o.ran
	if o.heldAnswer != nil {
		t.heldAnswer = o.heldAnswer
	}
	if o.refusal != nil {
		t.recordRefusal(o.refusal)
	}
}

// recordRefusal sets the refusal to send. It never replaces the verdict that the request may have run.
func (t *attempts) recordRefusal(ref *refusal) {
	if t.refusal == nil || t.refusal.verdict == verdict.NotRun {
		t.refusal = ref
	}
}

// recordNoServer records that no backend server is left to try.
func (t *attempts) recordNoServer(err error) {
	var paused *route.PausedError
	var cold *route.ColdError
	switch {
	case errors.As(err, &cold) && (t.refusal == nil || t.refusal.verdict == verdict.NotRun):
		t.refusal = noTurn(cold)
	case errors.As(err, &paused) && (t.refusal == nil || t.refusal.verdict == verdict.NotRun):
		t.refusal = notRun(http.StatusServiceUnavailable, "backend_paused", err.Error())
		t.refusal.retryAfter = afterPause(paused.Left)
	case t.refusal == nil:
		t.refusal = notRun(http.StatusServiceUnavailable, "no_backend_server", err.Error())
	}
}
