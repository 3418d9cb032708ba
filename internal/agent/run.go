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
	errPreempted = errors.New("a request of a higher tier needs the slot")
	errDeadline  = errors.New("the deadline has passed")
)

// stoppedError cancels a run for good.
type stoppedError struct{ why *refusal }

// Error returns the reason.
func (e *stoppedError) Error() string { return e.why.message }

// start sends a request to the backend server, or goes on with one that was preempted.
func (a *Agent) start(now time.Time, r *record) {
	from := int(r.answer.count())
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
	r.answer.started(&linkpb.AgentFrame{
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
		From:       from,
	}
	for _, h := range s.Headers {
		if backend.MayForward(h.Name) {
			req.Headers = append(req.Headers, backend.Header{Name: h.Name, Value: h.Value})
		}
	}
	return req
}

// owner names this life of the agent to the engine.
func (a *Agent) owner() string { return a.cfg.ID + "/" + a.cfg.Incarnation }

// run calls the backend server. It reports to the loop once the backend server no longer works on the request.
func (a *Agent) run(ctx context.Context, r *record, req *backend.Request) {
	usage, err := a.backend.Do(ctx, req, sink{ctx: ctx, answer: r.answer})
	cause := context.Cause(ctx)
	if err != nil && verdict.Of(err) != verdict.NotRun {
		// The engine may be at work on it still. Its slot is free only after the cancel.
		cancelCtx, done := context.WithTimeout(context.WithoutCancel(ctx), probeInterval)
		if cancelErr := a.backend.Cancel(cancelCtx, req.ID); cancelErr != nil {
			a.cfg.Logger.Debug("engine did not take the cancel", "request_id", r.id, "error", cancelErr)
		}
		done()
	}
	a.post(func(now time.Time) { a.ended(now, r, usage, err, cause) })
}

// ended takes the outcome of a run.
func (a *Agent) ended(now time.Time, r *record, usage backend.Usage, err, cause error) {
	a.progress(now, r)
	if err == nil {
		a.complete(now, r, usage)
		a.act(now, a.sched.Finish(now, r.id))
		return
	}
	if verdict.Of(err) == verdict.NotRun {
		r.started = r.runs > 1 || r.answer.count() > 0
	}
	if errors.Is(cause, errPreempted) && !r.cancelled && a.canGoOn(r) {
		r.state = waiting
		r.preempting = false
		a.act(now, a.sched.Requeue(now, r.id))
		return
	}
	a.finishRefused(now, r, a.whyEnded(r, err, cause))
	a.act(now, a.sched.Finish(now, r.id))
	if cause == nil && isUnreachable(err) {
		a.lost()
	}
}

// canGoOn reports whether a preempted request can be started again.
func (a *Agent) canGoOn(r *record) bool {
	if r.session == nil && !r.submit.KeepAnswer {
		return false
	}
	return r.answer.count() == 0 || (r.submit.Stream && a.backend.Resumable())
}

// whyEnded explains a failed run.
func (a *Agent) whyEnded(r *record, err, cause error) *refusal {
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

// complete ends a whole answer.
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

// progress tells the scheduler of new tokens.
func (a *Agent) progress(now time.Time, r *record) {
	if r.state != running {
		return
	}
	if n := r.answer.takeTokens(); n > 0 {
		a.meters.tokens.Inc(int64(n))
		a.act(now, a.sched.Progress(now, r.id, n))
	}
}

// lost notes that the backend server is out of reach, and waits until it is back.
func (a *Agent) lost() {
	if a.probing {
		return
	}
	a.cfg.Logger.Warn("backend server does not answer", "backend_server", a.cfg.ID)
	a.up = false
	a.probe()
}

// probe waits until the backend server answers, and cancels what it still runs for an earlier life of this agent.
func (a *Agent) probe() {
	a.probing = true
	a.runs.Go(func() {
		for !a.cleanUp(a.runCtx) {
			select {
			case <-a.runCtx.Done():
				return
			case <-time.After(probeInterval):
			}
		}
		a.post(a.reached)
	})
}

// reached opens the gate to the backend server.
func (a *Agent) reached(time.Time) {
	a.up = true
	a.probing = false
	if a.lifecycle == linkpb.Lifecycle_LIFECYCLE_JOINING {
		a.lifecycle = linkpb.Lifecycle_LIFECYCLE_READY
	}
}

// cleanUp cancels the work of earlier lives, and reports whether the backend server is free of it.
func (a *Agent) cleanUp(ctx context.Context) bool {
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
