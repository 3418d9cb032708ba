package agent

import (
	"time"

	"github.com/guavastack/guavastack/proto/linkpb"
)

// tick runs the time-driven work: deadlines, scheduler decisions and evictions.
func (a *Agent) tick(now time.Time) {
	for r := range a.active {
		a.tickRecord(now, r)
	}
	a.applyActions(now, a.sched.Tick(now))
	if now.Before(a.sweepAt) {
		return
	}
	a.sweepAt = now.Add(idleTick)
	a.closeSilentLinks(now)
	a.evictExpired(now)
	a.evictEntries(now)
}

func (a *Agent) tickRecord(now time.Time, r *record) {
	a.reportProgress(now, r)
	switch {
	case r.session == nil && !r.submit.KeepAnswer && now.Sub(r.orphanedAt) >= a.cfg.OrphanTimeout:
		a.stop(now, r, newRefusal(linkpb.RefuseCode_REFUSE_CODE_CANCELLED, "entry of the request has been disconnected for too long"))
	case r.state == waiting && !r.deadline.IsZero() && !now.Before(r.deadline):
		a.stop(now, r, newRefusal(linkpb.RefuseCode_REFUSE_CODE_HOPELESS, errDeadline.Error()))
	}
}

// closeSilentLinks closes links that have an answer to deliver but have received nothing, not even a heartbeat, for
// LinkSilenceTimeout.
func (a *Agent) closeSilentLinks(now time.Time) {
	for _, r := range a.records {
		if r.isDelivering() && now.Sub(r.session.LastReceived()) >= a.cfg.LinkSilenceTimeout {
			r.session.Close()
		}
	}
}

// evictExpired evicts finished records whose retention time is over.
func (a *Agent) evictExpired(now time.Time) {
	for len(a.evictable) > 0 && now.Sub(a.evictable[0].evictableAt) >= a.cfg.KeepFor {
		a.evictOldest()
	}
}

// markEvictable makes a finished record evictable unless a link is delivering it, and evicts the oldest records beyond
// the limit on kept bytes.
func (a *Agent) markEvictable(now time.Time, r *record) {
	if r.active() || r.isDelivering() || r.isEvictable {
		return
	}
	r.isEvictable = true
	r.evictableAt = now
	a.evictable = append(a.evictable, r)
	for a.keptBytes > a.cfg.KeepBytes && a.evictOldest() {
	}
}

// evictOldest evicts the oldest finished record that no link is delivering; it reports whether there was one.
func (a *Agent) evictOldest() bool {
	for len(a.evictable) > 0 {
		r := a.evictable[0]
		a.evictable[0] = nil
		a.evictable = a.evictable[1:]
		r.isEvictable = false
		if r.isDelivering() {
			continue // it becomes evictable again once delivered
		}
		a.keptBytes -= r.keptBytes
		if a.records[r.id] == r {
			a.remove(r)
		}
		return true
	}
	return false
}

// remove deletes a record from the table. It keeps what the agent needs to refuse a later Submit of a request that may
// have run, and to mark a later Welcome as incomplete.
func (a *Agent) remove(r *record) {
	delete(a.records, r.id)
	if r.submit == nil || !r.mayHaveRun() {
		return
	}
	if !r.submit.Repeatable {
		a.startedIDs.Add(r.id, struct{}{})
	}
	if !r.acked {
		r.entry.incomplete = true
	}
}

// evictEntries evicts entries without requests that have had no link for entryTTL, or sooner while there are more than
// maxEntries.
func (a *Agent) evictEntries(now time.Time) {
	inUse := make(map[*entry]bool)
	for _, r := range a.records {
		inUse[r.entry] = true
	}
	for key, e := range a.entries {
		if e.session != nil || inUse[e] {
			continue
		}
		if now.Sub(e.lastSeen) >= entryTTL || len(a.entries) > maxEntries {
			a.incompleteEntryEvicted = a.incompleteEntryEvicted || e.incomplete
			delete(a.entries, key)
		}
	}
}
