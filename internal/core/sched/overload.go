package sched

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// minOutputShare is the fraction of its class's mean output that a request is assumed to produce at least.
	minOutputShare = 1.0
	// slotWaitFactor scales the mean wait for a slot to a bound that few waits exceed.
	slotWaitFactor = 2
	// blockedPerReservedSlot is the number of recently blocked arrivals for which one slot is reserved.
	blockedPerReservedSlot = 4
	// maxReservedShare bounds the share of the slots that is reserved.
	maxReservedShare = 0.125
)

// creditFloors accounts for the start of a request of the class: every other waiting class is credited its floor share of a start.
func (s *Scheduler) creditFloors(started *classQueue) {
	for _, t := range s.tiers {
		for _, c := range t.classes {
			if c.waiting > 0 && c != started {
				c.credit = math.Min(maxFloorCredit, c.credit+c.floor)
			}
		}
	}
	started.credit = math.Max(0, started.credit-1)
}

// dispatchFloor starts requests of classes with at least one start of floor credit, in slots on top of the batch size.
func (s *Scheduler) dispatchFloor(now time.Time) {
	for s.floorRunning < s.floorSlots() {
		c := s.mostCredited()
		if c == nil {
			return
		}
		s.startOrRefuse(now, s.nextInQueue(now, c.byServed.first().queue), true)
	}
}

// floorSlots returns the number of slots on top of the batch size for the floor shares of the waiting classes.
func (s *Scheduler) floorSlots() int {
	share := 0.0
	for _, t := range s.tiers {
		for _, c := range t.classes {
			if c.waiting > 0 {
				share += c.floor
			}
		}
	}
	return max(1, int(math.Ceil(share*float64(s.slots))))
}

// mostCredited returns the waiting class with the highest floor credit, or nil if none has credit for a start.
func (s *Scheduler) mostCredited() *classQueue {
	var most *classQueue
	for _, t := range s.tiers {
		for _, c := range t.classes {
			if c.waiting > 0 && c.credit >= 1 && (most == nil || c.credit > most.credit) {
				most = c
			}
		}
	}
	return most
}

// enforceQueueLimit sheds the requests that exceed the queue limit after an arrival: from the lowest tier, the newest request of
// the organisation that is furthest above its fair share.
func (s *Scheduler) enforceQueueLimit(now time.Time, arrived *item) {
	for s.displaceableWaiting() > s.cfg.QueueLimit+s.preempting {
		it := s.displacementVictim()
		if it == nil {
			return
		}
		if it != arrived {
			s.returnToCaller(now, it, Return, Displaced)
			continue
		}
		if s.preemptBelow(arrived.Tier) {
			continue
		}
		s.returnToCaller(now, it, Refuse, QueueFull)
	}
}

// displaceableWaiting returns the number of waiting requests that count towards the queue limit.
func (s *Scheduler) displaceableWaiting() int {
	n := 0
	for _, t := range s.tiers {
		for _, c := range t.classes {
			n += c.displaceable()
		}
	}
	return n
}

// displacementVictim returns the request to shed from a full queue.
func (s *Scheduler) displacementVictim() *item {
	for i := len(s.tiers) - 1; i >= 0; i-- {
		var most *queue
		for _, c := range s.tiers[i].classes {
			if c.displaceable() == 0 {
				continue
			}
			q := c.byFinish.first().queue
			if most == nil || q.account.virtualFinish() > most.account.virtualFinish() {
				most = q
			}
		}
		if most != nil {
			return most.arrivals.Back().Value.(*item)
		}
	}
	return nil
}

// isPreemptible reports whether a running request may be preempted for one of a higher tier.
func (it *item) isPreemptible() bool {
	if it.state != running || it.onFloorSlot || !it.Preemptible || !it.Repeatable {
		return false
	}
	return it.Resumable || it.tokens == 0
}

// preemptForAtRisk preempts one running request of a lower tier for each waiting request that would otherwise miss its
// first-token target.
func (s *Scheduler) preemptForAtRisk(now time.Time) {
	if !s.hasPreemptibleBelow(0) {
		return
	}
	s.updateAtRisk(now)
	for i, it := range s.atRisk {
		if s.preempting <= i {
			s.preemptBelow(it.Tier)
		}
	}
}

// updateAtRisk updates the list of waiting requests that may miss their first-token target, highest tier first. Requests that
// would miss it even if started now are left out.
func (s *Scheduler) updateAtRisk(now time.Time) {
	// A preempted request stops after its next token.
	stop := seconds(s.learned.interval.value)
	kept := s.atRisk[:0]
	for _, it := range s.atRisk {
		if it.state == waiting && !it.startedOnce && s.items[it.ID] == it && !s.isLate(now.Add(stop), it) {
			kept = append(kept, it)
		}
	}
	s.atRisk = kept
	for len(s.atRisk) < s.slots {
		it := s.byDue.first().item
		if it == nil {
			return
		}
		wait := time.Duration(float64(len(s.atRisk)+1) * slotWaitFactor * float64(s.slotInterval()))
		if s.learned.service.known && !s.isLate(now.Add(stop+wait), it) {
			return
		}
		s.byDue.remove(dueItem{it})
		if !s.isLate(now.Add(stop), it) {
			s.insertAtRisk(it)
		}
	}
}

// insertAtRisk inserts a request after those of its tier and the tiers above.
func (s *Scheduler) insertAtRisk(it *item) {
	i := sort.Search(len(s.atRisk), func(i int) bool { return s.atRisk[i].Tier > it.Tier })
	s.atRisk = slices.Insert(s.atRisk, i, it)
}

// isLate reports whether a request that starts at the given time misses its first-token target.
func (s *Scheduler) isLate(at time.Time, it *item) bool {
	return at.Add(s.learned.firstToken(&it.Request)).After(it.due)
}

// preemptBelow preempts the running request below the tier that loses the least work. It returns false if there is none.
func (s *Scheduler) preemptBelow(above int) bool {
	if !s.hasPreemptibleBelow(above) {
		return false
	}
	var victim *item
	for _, it := range s.active {
		if it.Tier > above && it.isPreemptible() && (victim == nil || isCheaperVictim(it, victim)) {
			victim = it
		}
	}
	s.tier(victim).preemptible--
	victim.state = preempting
	s.preempting++
	s.actions = append(s.actions, Action{Kind: Preempt, ID: victim.ID, Reason: HigherTier})
	return true
}

func (s *Scheduler) hasPreemptibleBelow(above int) bool {
	for i := above + 1; i < len(s.tiers); i++ {
		if s.tiers[i].preemptible > 0 {
			return true
		}
	}
	return false
}

// isCheaperVictim reports whether preempting a is preferred to preempting b: by less work lost, then lower tier, fewer tokens and
// later arrival.
func isCheaperVictim(a, b *item) bool {
	if x, y := a.workLost(), b.workLost(); x != y {
		return x < y
	}
	if a.Tier != b.Tier {
		return a.Tier > b.Tier
	}
	if a.tokens != b.tokens {
		return a.tokens < b.tokens
	}
	return a.seq > b.seq
}

// workLost returns the number of tokens that have to be recomputed if the request is preempted.
func (it *item) workLost() float64 {
	if it.Resumable {
		return 0
	}
	return uncachedTokens(&it.Request) + float64(it.tokens)
}

// latestStart returns the latest start time at which the request can still meet its deadline, or zero without a deadline.
func (s *Scheduler) latestStart(it *item) time.Time {
	if it.Deadline.IsZero() || s.cfg.Policy == PolicyFIFO {
		return it.Deadline
	}
	output := minOutputShare * it.queue.classQueue.meanOutput.value * s.learned.interval.value
	return it.Deadline.Add(-s.learned.firstToken(&it.Request) - seconds(output))
}

// isDeadlineUnreachable reports whether an arriving request cannot meet its deadline even if everything of lower tiers that can be
// displaced made room for it.
func (s *Scheduler) isDeadlineUnreachable(now time.Time, it *item) bool {
	if it.latest.IsZero() {
		return false
	}
	wait := time.Duration(0)
	if s.slots <= s.running && !s.hasPreemptibleBelow(it.Tier) {
		for _, t := range s.tiers[:it.Tier] {
			wait += time.Duration(t.waiting) * s.slotInterval()
		}
	}
	return now.Add(wait).After(it.latest)
}

// countBlocked counts an arrival that finds all slots occupied, at least one of them by a lower tier.
func (s *Scheduler) countBlocked(now time.Time, it *item) {
	if s.running < s.slots {
		return
	}
	for _, t := range s.tiers[it.Tier+1:] {
		if t.running > 0 {
			s.tier(it).blocked.add(now, 1)
			return
		}
	}
}

// reservedSlots returns the number of slots that requests of the tier must leave free for bursts of higher tiers.
func (s *Scheduler) reservedSlots(now time.Time, tierIndex int) int {
	blocked := 0.0
	for _, t := range s.tiers[:tierIndex] {
		blocked += t.blocked.read(now)
	}
	bound := int(maxReservedShare * float64(s.slots))
	return min(bound, int(blocked/blockedPerReservedSlot))
}

func sortBySeq(items []*item) {
	sort.Slice(items, func(i, j int) bool { return items[i].seq < items[j].seq })
}

// Load returns the current load.
func (s *Scheduler) Load(time.Time) Load {
	load := Load{
		Slots: s.slots, Running: s.running + s.floorRunning, Waiting: s.waiting, QueueLimit: s.cfg.QueueLimit,
		RunningByTier: make([]int, len(s.tiers)), WaitingByTier: make([]int, len(s.tiers)),
		TokenInterval: seconds(s.learned.interval.value),
	}
	for i, t := range s.tiers {
		load.RunningByTier[i] = t.running
		load.WaitingByTier[i] = t.waiting
		if t.hasDisplaceable() {
			load.LowestTier, load.HasDisplaceable = i, true
		}
	}
	load.FirstToken = s.learned.firstToken(&Request{})
	if s.running >= s.slots {
		load.FirstToken += time.Duration(s.waiting+1) * s.slotInterval()
	}
	return load
}

func (t *tier) hasDisplaceable() bool {
	if t.preemptible > 0 {
		return true
	}
	for _, c := range t.classes {
		if c.displaceable() > 0 {
			return true
		}
	}
	return false
}
