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

// undeliveredFactor times KeepBytes is the most that finished answers may hold that their callers have not taken yet.
const undeliveredFactor = 8

// refusal says why an attempt ends without an answer.
type refusal struct {
	verdict    linkpb.Verdict
	code       linkpb.RefuseCode
	message    string
	retryAfter time.Duration
}

func refuse(code linkpb.RefuseCode, message string) *refusal {
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

// submit takes an arriving request. It never runs one twice.
func (a *Agent) submit(now time.Time, s *link.Session, e *entry, current bool, m *linkpb.Submit) {
	old := a.records[m.RequestId]
	if old != nil && old.submit != nil && old.submit.Attempt == m.Attempt && current {
		a.repeatOutcome(s, old, m)
		return
	}
	if why := a.refuseArrival(e, current, m, old); why != nil {
		a.meters.refused.Inc(1)
		s.Send(a.refusedFrame(m.RequestId, m.Attempt, why))
		return
	}
	r := newRecord(now, e, m)
	r.answer = newAnswer(r.id, m.Attempt, a.cfg.BufferBytes, func() {
		a.post(func(now time.Time) { a.progress(now, r) })
	})
	_ = r.answer.attach(s, 0, m.Credit) // an empty answer has its beginning
	a.records[r.id] = r
	a.active[r] = struct{}{}
	a.act(now, a.sched.Submit(now, r.schedRequest(a.backend.Resumable())))
}

// repeatOutcome answers a duplicate of a request that has ended; one that is in progress answers by itself.
func (a *Agent) repeatOutcome(s *link.Session, r *record, m *linkpb.Submit) {
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

// refuseArrival says why a Submit is not taken; nil: it is.
func (a *Agent) refuseArrival(e *entry, current bool, m *linkpb.Submit, old *record) *refusal {
	switch {
	case !current || m.Epoch != e.epoch:
		return refuse(linkpb.RefuseCode_REFUSE_CODE_STALE_EPOCH, "request came on a link that was replaced")
	case m.AgentIncarnation != "" && m.AgentIncarnation != a.cfg.Incarnation:
		return refuse(linkpb.RefuseCode_REFUSE_CODE_STALE_EPOCH, "request is for an earlier life of the agent")
	case old != nil:
		if why := a.refuseRepeated(m, old); why != nil {
			return why
		}
	case a.ran.Contains(m.RequestId):
		return &refusal{verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_INVALID, message: "request has run before"}
	}
	switch {
	case a.lifecycle == linkpb.Lifecycle_LIFECYCLE_LEAVING:
		return refuse(linkpb.RefuseCode_REFUSE_CODE_LEAVING, "backend server is leaving")
	case !a.up:
		return refuse(linkpb.RefuseCode_REFUSE_CODE_BACKEND_DOWN, "backend server does not answer")
	case !a.serves(m.Model):
		return refuse(linkpb.RefuseCode_REFUSE_CODE_UNKNOWN_MODEL, "model "+m.Model+" is not served here")
	case len(a.records) >= maxRecords && !a.evictOldest():
		return refuse(linkpb.RefuseCode_REFUSE_CODE_QUEUE_FULL, "too many requests")
	case a.keptBytes > undeliveredFactor*a.cfg.KeepBytes:
		return refuse(linkpb.RefuseCode_REFUSE_CODE_QUEUE_FULL, "too many answers wait for their callers")
	}
	return nil
}

// refuseRepeated says why a further attempt of a known request is not taken.
func (a *Agent) refuseRepeated(m *linkpb.Submit, old *record) *refusal {
	switch {
	case old.submit == nil:
		return refuse(linkpb.RefuseCode_REFUSE_CODE_CANCELLED, "request was cancelled before it came")
	case old.submit.Attempt > m.Attempt:
		return refuse(linkpb.RefuseCode_REFUSE_CODE_INVALID, "a later attempt of the request was taken")
	case old.active():
		return refuse(linkpb.RefuseCode_REFUSE_CODE_INVALID, "an earlier attempt of the request is in progress")
	case old.mayHaveRun() && (!m.Repeatable || !old.submit.Repeatable):
		return &refusal{verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_INVALID, message: "request may have run before"}
	}
	return nil
}

// serves reports whether model is one of the backend server's.
func (a *Agent) serves(model string) bool {
	b := a.cfg.Backend
	return model == "" || b.Model == "" || model == b.Model || slices.Contains(b.Adapters, model)
}

// act carries out what the scheduler decided.
func (a *Agent) act(now time.Time, actions []sched.Action) {
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
			a.giveBack(now, r, action)
		}
	}
}

// giveBack ends a waiting request by the scheduler's decision.
func (a *Agent) giveBack(now time.Time, r *record, action sched.Action) {
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
		return linkpb.RefuseCode_REFUSE_CODE_DISPLACED, "a request of a higher tier took the place in the queue"
	case sched.Hopeless:
		return linkpb.RefuseCode_REFUSE_CODE_HOPELESS, "the deadline cannot be met"
	case sched.Leaving:
		return linkpb.RefuseCode_REFUSE_CODE_LEAVING, "backend server is leaving"
	default:
		return linkpb.RefuseCode_REFUSE_CODE_PREEMPTED, "a request of a higher tier needs the slot"
	}
}

// finishRefused ends a request. One of which a part was delivered ends its answer as stopped instead.
func (a *Agent) finishRefused(now time.Time, r *record, why *refusal) {
	a.meters.refused.Inc(1)
	if r.answer.count() > 0 {
		a.finishEnd(now, r, why)
		return
	}
	a.finish(now, r, why.verdict, func(uint64, uint64) *linkpb.AgentFrame {
		return a.refusedFrame(r.id, r.submit.Attempt, why)
	})
}

// finishEnd ends an answer that is not whole.
func (a *Agent) finishEnd(now time.Time, r *record, why *refusal) {
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

// finish closes a record with its last frame.
func (a *Agent) finish(now time.Time, r *record, v linkpb.Verdict, last func(events, digest uint64) *linkpb.AgentFrame) {
	r.state = finished
	r.verdict = v
	r.finishedAt = now
	delete(a.active, r)
	a.publish(now)
	r.answer.finish(last)
	r.kept = r.answer.size()
	a.keptBytes += r.kept
	a.release(now, r)
}

// cancelRequest ends a request. One that has not come yet leaves a tombstone, so that it never runs.
func (a *Agent) cancelRequest(now time.Time, e *entry, m *linkpb.Cancel) {
	r := a.records[m.RequestId]
	if r == nil {
		a.bury(now, e, m.RequestId)
		return
	}
	if r.entry != e || !r.active() {
		return
	}
	if m.Reason == linkpb.CancelReason_CANCEL_REASON_CALLER_GONE && r.submit.KeepAnswer {
		a.leaveCaller(now, r)
		return
	}
	a.stop(now, r, refuse(linkpb.RefuseCode_REFUSE_CODE_CANCELLED, "request was cancelled"))
}

// leaveCaller goes on with a request whose caller has gone; its answer is kept.
func (a *Agent) leaveCaller(now time.Time, r *record) {
	r.answer.detach()
	if r.session != nil {
		r.session.Send(a.refusedFrame(r.id, r.submit.Attempt, &refusal{
			verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_CANCELLED, message: "request goes on without its caller",
		}))
	}
	r.session = nil
	r.orphanedAt = now
}

// bury leaves a tombstone for a request that has not come.
func (a *Agent) bury(now time.Time, e *entry, id string) {
	if len(a.records) >= maxRecords && !a.evictOldest() {
		return
	}
	r := &record{id: id, entry: e, state: finished, verdict: notRun, arrived: now, finishedAt: now}
	a.records[id] = r
	a.release(now, r)
}

// stop ends an active request: at once where it waits, when its run has ended otherwise.
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
	a.act(now, actions)
}

// resume lets s consume an answer, from any entry but only for the request's own organisation.
func (a *Agent) resume(now time.Time, s *link.Session, e *entry, m *linkpb.Resume) {
	unknown := &refusal{
		verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_UNKNOWN_REQUEST, message: "request is not known here",
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
			verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_ATTENDED, message: "another entry follows the request",
		}))
		return
	}
	if err := r.answer.attach(s, m.NextSeq, m.Credit); err != nil {
		unknown.message = errors.Annotate(err, "part of the answer is not kept").Error()
		s.Send(a.refusedFrame(m.RequestId, r.submit.Attempt, unknown))
		return
	}
	if attended {
		former.Send(a.refusedFrame(r.id, r.submit.Attempt, &refusal{
			verdict: mayHaveRun, code: linkpb.RefuseCode_REFUSE_CODE_CANCELLED, message: "answer is taken by another entry",
		}))
	}
	r.session = s
	r.orphanedAt = time.Time{}
	r.acked = false
	if r.active() {
		r.entry = e
	}
}

// fence makes sure that a request that has not started never will, and says whether it had.
func (a *Agent) fence(now time.Time, e *entry, m *linkpb.Fence) linkpb.Verdict {
	r := a.records[m.RequestId]
	switch {
	case r == nil:
		if m.AgentIncarnation != a.cfg.Incarnation || a.ranForgot || a.ran.Contains(m.RequestId) {
			return mayHaveRun
		}
		a.bury(now, e, m.RequestId)
		if a.records[m.RequestId] == nil {
			return mayHaveRun // no room for the tombstone
		}
		return notRun
	case r.state == waiting && !r.started:
		a.stop(now, r, refuse(linkpb.RefuseCode_REFUSE_CODE_CANCELLED, "request was fenced"))
		return notRun
	case r.state == finished && r.verdict == notRun:
		return notRun
	case r.answer.count() > 0:
		return ran
	default:
		return mayHaveRun
	}
}
