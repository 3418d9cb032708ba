package agent

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/sched"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/proto/linkpb"
)

const (
	notRun     = linkpb.Verdict_VERDICT_NOT_RUN
	mayHaveRun = linkpb.Verdict_VERDICT_MAY_HAVE_RUN
	ran        = linkpb.Verdict_VERDICT_RAN
)

// undeliveredFactor times KeepBytes bounds the bytes of all finished answers, undelivered ones included. New requests
// are refused beyond it.
const undeliveredFactor = 8

// refusal is the reason why an attempt ends without an answer.
type refusal struct {
	verdict    linkpb.Verdict
	code       linkpb.RefuseCode
	message    string
	retryAfter time.Duration
}

// newRefusal returns a refusal with the verdict NOT_RUN.
func newRefusal(code linkpb.RefuseCode, message string) *refusal {
	return &refusal{verdict: notRun, code: code, message: message}
}

func (a *Agent) refusedFrame(id string, attempt uint32, r *refusal) *linkpb.AgentFrame {
	return &linkpb.AgentFrame{
		Refused: &linkpb.Refused{
			RequestId:    id,
			Attempt:      attempt,
			Verdict:      r.verdict,
			Code:         r.code,
			Message:      r.message,
			RetryAfterMs: r.retryAfter.Milliseconds(),
		},
		Load: a.Load(),
	}
}

// submit admits a request to the scheduler or refuses it. It never starts a request a second time unless it is
// repeatable.
func (a *Agent) submit(now time.Time, s *link.Session, e *entry, current bool, m *linkpb.Submit) {
	old := a.records[m.RequestId]
	if old != nil && old.submit != nil && old.submit.Attempt == m.Attempt && current {
		a.resendOutcome(s, old, m)
		return
	}
	if why := a.checkSubmit(e, current, m, old); why != nil {
		a.meters.refused.Inc(1)
		s.Send(a.refusedFrame(m.RequestId, m.Attempt, why))
		return
	}
	r := newRecord(now, e, m)
	r.answer = newAnswer(r.id, m.Attempt, a.cfg.BufferBytes, func() {
		a.post(func(now time.Time) { a.reportProgress(now, r) })
	})
	_ = r.answer.attach(s, 0, m.Credit) // cannot fail: an empty answer contains event 0
	a.records[r.id] = r
	a.active[r] = struct{}{}
	a.applyActions(now, a.sched.Submit(now, r.schedRequest(a.backend.Resumable())))
}

// resendOutcome sends the answer of a finished request again for a duplicate Submit. A request in progress needs
// nothing: its answer is delivered when it ends.
func (a *Agent) resendOutcome(s *link.Session, r *record, m *linkpb.Submit) {
	if r.active() {
		return
	}
	if err := r.answer.attach(s, 0, m.Credit); err != nil {
		s.Send(a.refusedFrame(r.id, m.Attempt, &refusal{
			verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_INVALID, message: "request has run before",
		}))
		return
	}
	r.session = s
}

// checkSubmit returns the reason to refuse a Submit, or nil to admit it.
func (a *Agent) checkSubmit(e *entry, current bool, m *linkpb.Submit, old *record) *refusal {
	switch {
	case !current || m.Epoch != e.epoch:
		return newRefusal(linkpb.RefuseCode_REFUSE_CODE_STALE_EPOCH, "request was sent on a link that has been replaced")
	case m.AgentIncarnation != "" && m.AgentIncarnation != a.cfg.Incarnation:
		return newRefusal(linkpb.RefuseCode_REFUSE_CODE_STALE_EPOCH, "request was sent to an earlier incarnation of the agent")
	case old != nil:
		if why := a.checkRepeatedSubmit(m, old); why != nil {
			return why
		}
	case a.startedIDs.Contains(m.RequestId):
		return &refusal{verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_INVALID, message: "request has run before"}
	}
	switch {
	case a.lifecycle == linkpb.Lifecycle_LIFECYCLE_LEAVING:
		return newRefusal(linkpb.RefuseCode_REFUSE_CODE_LEAVING, "backend server is leaving")
	case !a.up:
		return newRefusal(linkpb.RefuseCode_REFUSE_CODE_BACKEND_DOWN, "backend server does not answer")
	case !a.serves(m.Model):
		return newRefusal(linkpb.RefuseCode_REFUSE_CODE_UNKNOWN_MODEL, "model "+m.Model+" is not served by this backend server")
	case len(a.records) >= maxRecords && !a.evictOldest():
		return newRefusal(linkpb.RefuseCode_REFUSE_CODE_QUEUE_FULL, "too many requests")
	case a.keptBytes > undeliveredFactor*a.cfg.KeepBytes:
		return newRefusal(linkpb.RefuseCode_REFUSE_CODE_QUEUE_FULL, "too many undelivered answers")
	}
	return nil
}

// checkRepeatedSubmit returns the reason to refuse a further attempt of a known request, or nil to admit it.
func (a *Agent) checkRepeatedSubmit(m *linkpb.Submit, old *record) *refusal {
	switch {
	case old.submit == nil:
		return newRefusal(linkpb.RefuseCode_REFUSE_CODE_CANCELLED, "request was cancelled before it arrived")
	case old.submit.Attempt > m.Attempt:
		return newRefusal(linkpb.RefuseCode_REFUSE_CODE_INVALID, "a later attempt of the request was accepted")
	case old.active():
		return newRefusal(linkpb.RefuseCode_REFUSE_CODE_INVALID, "an earlier attempt of the request is in progress")
	case old.mayHaveRun() && (!m.Repeatable || !old.submit.Repeatable):
		return &refusal{verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_INVALID, message: "request may have run before"}
	}
	return nil
}

// serves reports whether the backend server serves model, as its base model or as an adapter.
func (a *Agent) serves(model string) bool {
	b := a.cfg.Backend
	return model == "" || b.Model == "" || model == b.Model || slices.Contains(b.Adapters, model)
}

// applyActions executes the scheduler's decisions.
func (a *Agent) applyActions(now time.Time, actions []sched.Action) {
	for _, action := range actions {
		r := a.records[action.ID]
		if r == nil {
			continue
		}
		switch action.Kind {
		case sched.Start:
			a.start(now, r)
		case sched.Preempt:
			r.preempting = true
			a.meters.preempted.Inc(1)
			r.cancel(errPreempted)
		case sched.Return, sched.Refuse:
			a.finishByScheduler(now, r, action)
		}
	}
}

// finishByScheduler ends a waiting request that the scheduler returned or refused.
func (a *Agent) finishByScheduler(now time.Time, r *record, action sched.Action) {
	code, text := refuseCode(action.Reason)
	why := &refusal{verdict: notRun, code: code, message: text, retryAfter: action.RetryAfter}
	if action.Started || r.started {
		why.verdict = mayHaveRun
	}
	a.finishRefused(now, r, why)
}

func refuseCode(reason sched.Reason) (linkpb.RefuseCode, string) {
	switch reason {
	case sched.QueueFull:
		return linkpb.RefuseCode_REFUSE_CODE_QUEUE_FULL, "queue is full"
	case sched.Displaced:
		return linkpb.RefuseCode_REFUSE_CODE_DISPLACED, "displaced from the queue by a request of a higher tier"
	case sched.DeadlineUnreachable:
		return linkpb.RefuseCode_REFUSE_CODE_HOPELESS, "the deadline cannot be met"
	case sched.Leaving:
		return linkpb.RefuseCode_REFUSE_CODE_LEAVING, "backend server is leaving"
	default:
		return linkpb.RefuseCode_REFUSE_CODE_PREEMPTED, "preempted by a request of a higher tier"
	}
}

// finishRefused ends a request without an answer. If events exist already, it ends the answer as stopped instead.
func (a *Agent) finishRefused(now time.Time, r *record, why *refusal) {
	a.meters.refused.Inc(1)
	if r.answer.eventCount() > 0 {
		a.finishStopped(now, r, why)
		return
	}
	a.finish(now, r, why.verdict, func(uint64, uint64) *linkpb.AgentFrame {
		return a.refusedFrame(r.id, r.submit.Attempt, why)
	})
}

// finishStopped ends an incomplete answer.
func (a *Agent) finishStopped(now time.Time, r *record, why *refusal) {
	output := r.answer.tokenCount()
	a.finish(now, r, ran, func(events, digest uint64) *linkpb.AgentFrame {
		return &linkpb.AgentFrame{
			End: &linkpb.End{
				RequestId: r.id,
				Attempt:   r.submit.Attempt,
				Events:    events,
				Digest:    digest,
				Usage:     &linkpb.Usage{OutputTokens: output},
				Stopped:   true,
				Error:     why.message,
				Verdict:   ran,
			},
			Load: a.Load(),
		}
	})
}

// finish ends a request with the frame that last builds, and keeps its answer for later fetches.
func (a *Agent) finish(now time.Time, r *record, v linkpb.Verdict, last func(events, digest uint64) *linkpb.AgentFrame) {
	r.state = finished
	r.verdict = v
	r.finishedAt = now
	delete(a.active, r)
	a.publish(now)
	r.answer.finish(last)
	r.keptBytes = r.answer.size()
	a.keptBytes += r.keptBytes
	a.markEvictable(now, r)
}

// cancelRequest ends a request. For one that has not arrived yet it adds a tombstone, so that it never runs.
func (a *Agent) cancelRequest(now time.Time, e *entry, m *linkpb.Cancel) {
	r := a.records[m.RequestId]
	if r == nil {
		a.addTombstone(now, e, m.RequestId)
		return
	}
	if r.entry != e || !r.active() {
		return
	}
	if m.Reason == linkpb.CancelReason_CANCEL_REASON_CALLER_GONE && r.submit.KeepAnswer {
		a.continueUnattended(now, r)
		return
	}
	a.stop(now, r, newRefusal(linkpb.RefuseCode_REFUSE_CODE_CANCELLED, "request was cancelled"))
}

// continueUnattended continues a request whose caller has disconnected; its answer is kept for a later fetch.
func (a *Agent) continueUnattended(now time.Time, r *record) {
	r.answer.detach()
	if r.session != nil {
		r.session.Send(a.refusedFrame(r.id, r.submit.Attempt, &refusal{
			verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_CANCELLED, message: "request continues without its caller",
		}))
	}
	r.session = nil
	r.orphanedAt = now
}

// addTombstone records a request that has not arrived as not run, so that its Submit is refused. It does nothing when
// the table is full and no record can be evicted.
func (a *Agent) addTombstone(now time.Time, e *entry, id string) {
	if len(a.records) >= maxRecords && !a.evictOldest() {
		return
	}
	r := &record{id: id, entry: e, state: finished, verdict: notRun, arrived: now, finishedAt: now}
	a.records[id] = r
	a.markEvictable(now, r)
}

// stop ends an active request: a waiting one at once, a running one when its cancelled run has ended.
func (a *Agent) stop(now time.Time, r *record, why *refusal) {
	if r.state == running {
		r.cancelled = true
		r.cancel(&stoppedError{why})
		return
	}
	if r.started {
		why.verdict = mayHaveRun
	}
	actions := a.sched.Cancel(now, r.id)
	a.finishRefused(now, r, why)
	a.applyActions(now, actions)
}

// resume attaches s to an answer. Any entry may resume, but only on behalf of the request's own organisation.
func (a *Agent) resume(now time.Time, s *link.Session, e *entry, m *linkpb.Resume) {
	unknown := &refusal{
		verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_UNKNOWN_REQUEST, message: "request is not known to this agent",
	}
	r := a.records[m.RequestId]
	if r == nil || r.submit == nil || r.submit.Organisation != m.Organisation {
		s.Send(a.refusedFrame(m.RequestId, m.Attempt, unknown))
		return
	}
	if m.Attempt != 0 && m.Attempt != r.submit.Attempt {
		s.Send(a.refusedFrame(m.RequestId, m.Attempt, unknown))
		return
	}
	former := r.session
	attended := former != nil && former != s && !r.acked
	if attended && m.Unattended {
		s.Send(a.refusedFrame(m.RequestId, r.submit.Attempt, &refusal{
			verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_ATTENDED, message: "another link receives the answer",
		}))
		return
	}
	if err := r.answer.attach(s, m.NextSeq, m.Credit); err != nil {
		unknown.message = errors.Annotate(err, "part of the answer is no longer available").Error()
		s.Send(a.refusedFrame(m.RequestId, r.submit.Attempt, unknown))
		return
	}
	if attended {
		former.Send(a.refusedFrame(r.id, r.submit.Attempt, &refusal{
			verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_CANCELLED, message: "answer was resumed on another link",
		}))
	}
	r.session = s
	r.orphanedAt = time.Time{}
	r.acked = false
	if r.active() {
		r.entry = e
	}
}

// fence prevents a request that has not started from ever starting, and returns whether it has run.
func (a *Agent) fence(now time.Time, e *entry, m *linkpb.Fence) linkpb.Verdict {
	r := a.records[m.RequestId]
	switch {
	case r == nil:
		if m.AgentIncarnation != a.cfg.Incarnation || a.startedIDEvicted || a.startedIDs.Contains(m.RequestId) {
			return mayHaveRun
		}
		a.addTombstone(now, e, m.RequestId)
		if a.records[m.RequestId] == nil {
			return mayHaveRun // the table is full: a later Submit could still run
		}
		return notRun
	case r.state == waiting && !r.started:
		a.stop(now, r, newRefusal(linkpb.RefuseCode_REFUSE_CODE_CANCELLED, "request was fenced"))
		return notRun
	case r.state == finished && r.verdict == notRun:
		return notRun
	case r.answer.eventCount() > 0:
		return ran
	default:
		return mayHaveRun
	}
}
