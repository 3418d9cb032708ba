package agent

import (
	"time"

	"github.com/guavastack/guavastack/proto/linkpb"
)

// tick does what time brings.
func (a *Agent) tick(now time.Time) {
	for _, r := range a.records {
		if r.active() {
			a.tickRecord(now, r)
		}
	}
	a.act(now, a.sched.Tick(now))
	if now.Before(a.sweepAt) {
		return
	}
	a.sweepAt = now.Add(keepTick)
	a.closeSilent(now)
	a.evict(now)
	a.forgetEntries(now)
}

func (a *Agent) tickRecord(now time.Time, r *record) {
	a.progress(now, r)
	switch {
	case r.session == nil && !r.submit.KeepAnswer && now.Sub(r.orphanedAt) >= a.cfg.OrphanTimeout:
		a.stop(now, r, refuse(linkpb.RefuseCode_REFUSE_CODE_CANCELLED, "entry of the request is gone"))
	case r.state == waiting && !r.deadline.IsZero() && !now.Before(r.deadline):
		a.stop(now, r, refuse(linkpb.RefuseCode_REFUSE_CODE_HOPELESS, errDeadline.Error()))
	}
}

// closeSilent closes links that have requests in progress but bring nothing, not even a heartbeat.
func (a *Agent) closeSilent(now time.Time) {
	for _, r := range a.records {
		if r.active() && r.session != nil && now.Sub(r.session.LastReceived()) >= a.cfg.LinkSilence {
			r.session.Close()
		}
	}
}

// evict drops finished records whose time is over, and the oldest beyond the bound on kept bytes.
func (a *Agent) evict(now time.Time) {
	kept := 0
	for _, r := range a.records {
		if r.active() {
			continue
		}
		if now.Sub(r.finishedAt) >= a.cfg.KeepFor {
			a.drop(r)
		} else if r.answer != nil {
			kept += r.answer.size()
		}
	}
	for kept > a.cfg.KeepBytes {
		r := a.oldestFinished()
		if r == nil {
			return
		}
		if r.answer != nil {
			kept -= r.answer.size()
		}
		a.drop(r)
	}
}

// evictOldest makes room for one record.
func (a *Agent) evictOldest() bool {
	r := a.oldestFinished()
	if r == nil {
		return false
	}
	a.drop(r)
	return true
}

func (a *Agent) oldestFinished() *record {
	var oldest *record
	for _, r := range a.records {
		if !r.active() && (oldest == nil || r.finishedAt.Before(oldest.finishedAt)) {
			oldest = r
		}
	}
	return oldest
}

// drop takes a record out of the table and remembers what could be asked later.
func (a *Agent) drop(r *record) {
	delete(a.records, r.id)
	if r.submit == nil || !r.mayHaveRun() {
		return
	}
	if !r.submit.Repeatable {
		a.ran.Add(r.id, struct{}{})
	}
	if !r.acked {
		r.entry.forgot = true
	}
}

// forgetEntries drops entries that have been without a link for long.
func (a *Agent) forgetEntries(now time.Time) {
	inUse := make(map[*entry]bool)
	for _, r := range a.records {
		inUse[r.entry] = true
	}
	for key, e := range a.entries {
		if e.session != nil || inUse[e] {
			continue
		}
		if now.Sub(e.lastSeen) >= entryTTL || len(a.entries) > maxEntries {
			a.lostEntry = a.lostEntry || e.forgot
			delete(a.entries, key)
		}
	}
}
