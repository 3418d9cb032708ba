package agent

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/backend"
	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/proto/linkpb"
)

var (
	errPreempted = errors.New("preempted by a request of a higher tier")
	errDeadline  = errors.New("the deadline has passed")
)

// stoppedError is the cause of a run that was cancelled and is not to be restarted.
type stoppedError struct{ why *refusal }

// Error returns the message of the refusal.
func (e *stoppedError) Error() string { return e.why.message }

// start runs a request at the backend server, or resumes one that was preempted.
func (a *Agent) start(now time.Time, r *record) {
	from := int(r.answer.eventCount())
	if from == 0 {
		r.runs++
		r.backendID = r.id + "." + strconv.Itoa(int(r.submit.Attempt)) + "." + strconv.Itoa(r.runs)
	}
	r.state = running
	r.started = true
	r.preempting = false
	ctx, cancel := context.WithCancelCause(a.runCtx)
	stop := func() {}
	if !r.deadline.IsZero() {
		var end context.CancelFunc
		ctx, end = context.WithDeadlineCause(ctx, r.deadline, errDeadline)
		stop = end
	}
	r.cancel = cancel
	wait := now.Sub(r.arrived)
	a.meters.started.Inc(1)
	a.meters.queueWait.Update(wait.Microseconds())
	r.answer.queueStarted(&linkpb.AgentFrame{
		Started: &linkpb.Started{RequestId: r.id, Attempt: r.submit.Attempt, QueueWaitMs: wait.Milliseconds()},
		Load:    a.Load(),
	})
	req := a.backendRequest(r, from)
	a.runs.Go(func() {
		defer cancel(nil)
		defer stop()
		a.run(ctx, r, req)
	})
}

func (a *Agent) backendRequest(r *record, from int) *backend.Request {
	s := r.submit
	req := &backend.Request{
		ID:         r.backendID,
		Owner:      a.owner(),
		Method:     s.Method,
		Path:       s.Path,
		Body:       s.Body,
		Priority:   int(s.Tier),
		Stream:     s.Stream,
		Repeatable: s.Repeatable,
		ResumeFrom: from,
	}
	for _, h := range s.Headers {
		if backend.MayForward(h.Name) {
			req.Headers = append(req.Headers, backend.Header{Name: h.Name, Value: h.Value})
		}
	}
	return req
}

// owner identifies this incarnation of the agent to the engine.
func (a *Agent) owner() string { return a.cfg.ID + "/" + a.cfg.Incarnation }

// run calls the backend server. It reports the outcome to the loop once the backend server no longer works on the
// request.
func (a *Agent) run(ctx context.Context, r *record, req *backend.Request) {
	usage, err := a.backend.Do(ctx, req, sink{ctx: ctx, answer: r.answer})
	cause := context.Cause(ctx)
	if err != nil && verdict.Of(err) != verdict.NotRun {
		// The engine may still be working on the request. Its slot is free only after the cancel.
		cancelCtx, done := context.WithTimeout(context.WithoutCancel(ctx), probeInterval)
		if cancelErr := a.backend.Cancel(cancelCtx, req.ID); cancelErr != nil {
			a.cfg.Logger.Debug("cancelling a request at the engine failed", "request_id", r.id, "error", cancelErr)
		}
		done()
	}
	a.post(func(now time.Time) { a.handleRunEnd(now, r, usage, err, cause) })
}

// handleRunEnd handles the outcome of a run: it finishes the request or queues it again after a preemption.
func (a *Agent) handleRunEnd(now time.Time, r *record, usage backend.Usage, err, cause error) {
	a.reportProgress(now, r)
	if err == nil {
		a.complete(now, r, usage)
		a.applyActions(now, a.sched.Finish(now, r.id))
		return
	}
	if verdict.Of(err) == verdict.NotRun {
		r.started = r.runs > 1 || r.answer.eventCount() > 0
	}
	if errors.Is(cause, errPreempted) && !r.cancelled && a.canRequeue(r) {
		r.state = waiting
		r.preempting = false
		a.applyActions(now, a.sched.Requeue(now, r.id))
		return
	}
	a.finishRefused(now, r, a.refusalOf(r, err, cause))
	a.applyActions(now, a.sched.Finish(now, r.id))
	if cause == nil && isUnreachable(err) {
		a.markBackendDown()
	}
}

// canRequeue reports whether a preempted request can be queued again: its answer has a receiver or is kept, and no event
// exists yet or the engine can resume the stream.
func (a *Agent) canRequeue(r *record) bool {
	if r.session == nil && !r.submit.KeepAnswer {
		return false
	}
	return r.answer.eventCount() == 0 || (r.submit.Stream && a.backend.Resumable())
}

// refusalOf returns the refusal that reports a failed run.
func (a *Agent) refusalOf(r *record, err, cause error) *refusal {
	why := &refusal{verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_BACKEND_DOWN, message: err.Error()}
	var stopped *stoppedError
	switch {
	case errors.As(cause, &stopped):
		why.code, why.message = stopped.why.code, stopped.why.message
	case errors.Is(cause, errDeadline):
		why.code, why.message = linkpb.RefuseCode_REFUSE_CODE_HOPELESS, errDeadline.Error()
	case errors.Is(cause, errPreempted):
		why.code, why.message = linkpb.RefuseCode_REFUSE_CODE_PREEMPTED, errPreempted.Error()
	}
	if !r.started {
		why.verdict = notRun
	}
	return why
}

func isUnreachable(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Verdict == verdict.NotRun
}

// complete ends a request whose answer is complete.
func (a *Agent) complete(now time.Time, r *record, usage backend.Usage) {
	a.meters.completed.Inc(1)
	output := usage.Output
	if !usage.Reported {
		output = r.answer.tokenCount()
	}
	a.finish(now, r, ran, func(events, digest uint64) *linkpb.AgentFrame {
		return &linkpb.AgentFrame{
			End: &linkpb.End{
				RequestId: r.id,
				Attempt:   r.submit.Attempt,
				Events:    events,
				Digest:    digest,
				Verdict:   ran,
				Usage:     &linkpb.Usage{PromptTokens: usage.Prompt, CachedTokens: usage.Cached, OutputTokens: output},
			},
			Load: a.Load(),
		}
	})
}

// reportProgress passes the number of new tokens of a running request to the scheduler.
func (a *Agent) reportProgress(now time.Time, r *record) {
	if r.state != running {
		return
	}
	if n := r.answer.newTokens(); n > 0 {
		a.meters.tokens.Inc(int64(n))
		a.applyActions(now, a.sched.Progress(now, r.id, n))
	}
}

// markBackendDown refuses new requests until probing reaches the backend server again.
func (a *Agent) markBackendDown() {
	if a.probing {
		return
	}
	a.cfg.Logger.Warn("backend server does not answer", "backend_server", a.cfg.ID)
	a.up = false
	a.probe()
}

// probe starts a goroutine that retries until the backend server answers and has no more work of earlier incarnations
// of this agent.
func (a *Agent) probe() {
	a.probing = true
	a.runs.Go(func() {
		for !a.cancelStaleRuns(a.runCtx) {
			select {
			case <-a.runCtx.Done():
				return
			case <-time.After(probeInterval):
			}
		}
		a.post(a.markBackendUp)
	})
}

// markBackendUp allows requests to the backend server.
func (a *Agent) markBackendUp(time.Time) {
	a.up = true
	a.probing = false
	if a.lifecycle == linkpb.Lifecycle_LIFECYCLE_JOINING {
		a.lifecycle = linkpb.Lifecycle_LIFECYCLE_READY
	}
}

// cancelStaleRuns cancels the work of earlier incarnations at the backend server, and reports whether none is left.
func (a *Agent) cancelStaleRuns(ctx context.Context) bool {
	if _, err := a.backend.Load(ctx); err != nil {
		return false
	}
	list, err := a.backend.Running(ctx, a.cfg.ID+"/")
	if err != nil {
		return false
	}
	clean := true
	for _, work := range list {
		if work.Owner == a.owner() {
			continue
		}
		if err := a.backend.Cancel(ctx, work.ID); err != nil {
			clean = false
		}
	}
	return clean
}
