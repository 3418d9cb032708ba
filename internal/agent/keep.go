package agent

import (
	"time"

	"github.com/guavastack/guavastack/proto/linkpb"
)

// tick does what time brings.
func (a *Agent) tick(now time.Time) {
	for r := range a.active {
		a.tickRecord(now, r)
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

// closeSilent closes links whose entry waits for something but sends nothing, not even a heartbeat.
func (a *Agent) closeSilent(now time.Time) {
	for _, r := range a.records {
		if r.isDelivering() && now.Sub(r.session.LastReceived()) >= a.cfg.LinkSilence {
			r.session.Close()
		}
	}
}

// evict drops finished records whose time is over.
func (a *Agent) evict(now time.Time) {
	for len(a.released) > 0 && now.Sub(a.released[0].releasedAt) >= a.cfg.KeepFor {
		a.evictOldest()
	}
}

// release lets a finished record be dropped, once no link is about to deliver it, and drops the oldest ones beyond the
// bound on kept bytes.
func (a *Agent) release(now time.Time, r *record) {
	if r.active() || r.isDelivering() || r.listed {
		return
	}
	r.listed = true
	r.releasedAt = now
	a.released = append(a.released, r)
	for a.keptBytes > a.cfg.KeepBytes && a.evictOldest() {
	}
}

// evictOldest makes room by the oldest record that no link is about to deliver.
func (a *Agent) evictOldest() bool {
	for len(a.released) > 0 {
		r := a.released[0]
		a.released[0] = nil
		a.released = a.released[1:]
		r.listed = false
		if r.isDelivering() {
			continue // it is released again afterwards
		}
		a.keptBytes -= r.kept
		if a.records[r.id] == r {
			a.drop(r)
		}
		return true
	}
	return false
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
