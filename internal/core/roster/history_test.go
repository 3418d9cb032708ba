package roster_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/guavastack/guavastack/internal/core/roster"
)

const (
	// quickCatchUp is the longest time that a successor whose group must be repaired within catchUpLimit takes for its first answer.
	quickCatchUp = time.Second
	// slowCatchUp is the longest time of a successor that must not be removed.
	slowCatchUp = roster.UnresponsiveLimit - 2*checkInterval
	// minLeadership is the shortest leadership while the group must be repaired within catchUpLimit: a learner needs an answer to the
	// leader that gives it the vote.
	minLeadership = electionTimeout + 2*checkInterval
)

// history is a random history of a group.
type history struct {
	*simulation
	rt     *rapid.T
	nextID uint64
}

// Guards against successors that are turned away, and against changes of the membership that undo each other (issue 40). Whatever
// leads, and however often that changes, a successor that answers within the limit stays, the group tolerates the next loss
// within catchUpLimit of the start of one that answers soon, and a learner that hangs is removed in the end. The simulation checks each step.
func TestRandomHistoriesOfSuccessors(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.Uint64Range(3, roster.MaxVoters).Draw(rt, "voters")
		tolerance := rapid.IntRange(1, faultTolerance(size)).Draw(rt, "tolerance")
		h := &history{simulation: newSimulation(rt, size, tolerance), rt: rt, nextID: size + 1}
		for range rapid.IntRange(1, 12).Draw(rt, "events") {
			switch rapid.SampledFrom([]string{"replace", "replace", "replace", "leave", "hang", "pause", "lead", "wait"}).Draw(rt, "event") {
			case "replace":
				h.replace()
			case "leave":
				h.leave()
			case "hang":
				h.hang()
			case "pause":
				h.pause()
			case "lead":
				h.leadAnother()
			case "wait":
				h.run(h.duration("wait", 2*roster.UnresponsiveLimit))
			}
			h.checkTolerance()
		}
	})
}

// duration draws a multiple of tickInterval.
func (h *history) duration(label string, limit time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(0, int(limit/tickInterval)).Draw(h.rt, label)) * tickInterval
}

func (h *history) checkTolerance() {
	h.rt.Helper()
	if got := h.tolerated(); got < h.tolerance {
		h.rt.Fatalf("%d losses are tolerated %v after the start, want %d: %q", got, h.at.Sub(now), h.tolerance, h.steps)
	}
}

// replace loses a voter with its disk and starts its successor, elsewhere or with the same id, once the group has been without it
// for a while. Leaders change meanwhile.
func (h *history) replace() {
	lost := rapid.SampledFrom(h.runningVoters()).Draw(h.rt, "lost")
	h.lose(lost)
	h.runWithChanges(h.duration("time without", observedAfter), tickInterval)
	id := lost
	if rapid.Bool().Draw(h.rt, "elsewhere") {
		id = h.newID()
	}
	p := &process{id: id, incarnation: h.newID(), answersEvery: h.duration("answers every", electionTimeout)}
	if rapid.Bool().Draw(h.rt, "slow") {
		p.answersAfter = h.duration("catch-up", slowCatchUp)
		h.start(p)
		h.runWithChanges(p.answersAfter, tickInterval)
		h.run(catchUpLimit)
	} else {
		p.answersAfter = h.duration("catch-up", quickCatchUp)
		h.start(p)
		h.runWithChanges(catchUpLimit, minLeadership)
	}
	if m, ok := h.conf.Member(id); !ok || m.Incarnation != p.incarnation {
		h.rt.Fatalf("the successor %d has no vote %v after its start: %q", id, h.at.Sub(p.started), h.steps)
	}
}

// leave ends a voter as planned, and starts it again with its disk.
func (h *history) leave() {
	id := rapid.SampledFrom(h.runningVoters()).Draw(h.rt, "leaving")
	if id == h.leader {
		h.leadAnother()
	}
	p, leader := h.processes[id], h.processes[h.leader]
	leader.contacts.Observe(h.at, h.conf)
	if h.view(leader).ReleasesLeaving(id) {
		leader.leaves[id], p.isLeaving = h.at, true
		h.run(checkInterval)
	}
	h.lose(id)
	h.runWithChanges(h.duration("time without", roster.AnnouncementLifetime), tickInterval)
	h.start(&process{id: id, incarnation: p.incarnation, hadVote: true})
	h.runWithChanges(catchUpLimit, minLeadership)
}

// pause suspends a voter other than the leader, also for longer than the limit for silence.
func (h *history) pause() {
	p := h.processes[rapid.SampledFrom(h.runningVoters()).Draw(h.rt, "paused")]
	if p.id == h.leader {
		h.leadAnother()
	}
	p.pausedUntil = h.at.Add(h.duration("paused for", 2*roster.SilenceLimit))
	h.run(p.pausedUntil.Sub(h.at))
	h.runWithChanges(catchUpLimit, minLeadership)
}

// hang starts a successor that never answers, or not even sends anything but announcements, and ends it some time after its removal.
func (h *history) hang() {
	p := &process{id: h.newID(), incarnation: h.newID(), hangs: true}
	if rapid.Bool().Draw(h.rt, "unheard") {
		p.answersAfter = time.Hour
	}
	h.start(p)
	h.runWithChanges(h.duration("with leaders that change", roster.UnresponsiveLimit), tickInterval)
	h.run(roster.UnresponsiveLimit + 2*checkInterval)
	if _, ok := h.simulation.removed[p.id]; !ok {
		h.rt.Fatalf("the learner %d, which hangs, is not removed: %q", p.id, h.steps)
	}
	delete(h.processes, p.id)
	h.run(roster.AnnouncementLifetime + roster.SilenceLimit + 2*checkInterval)
	if _, ok := h.conf.Member(p.id); ok {
		h.rt.Fatalf("the learner %d, which has ended, is not removed: %q", p.id, h.steps)
	}
}

// runWithChanges advances the time while the leader changes now and then. Each leads at least for the given time.
func (h *history) runWithChanges(d, leads time.Duration) {
	for end := h.at.Add(d); h.at.Before(end); {
		h.run(min(end.Sub(h.at), leads+h.duration("leads for", 2*roster.UnresponsiveLimit)))
		if rapid.Bool().Draw(h.rt, "leader changes") {
			h.leadAnother()
		}
	}
}

func (h *history) newID() uint64 {
	h.nextID++
	return h.nextID
}
