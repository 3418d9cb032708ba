package sched

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// hopelessOutputShare is the part of a class's mean answer that a request is assumed to need at least.
	hopelessOutputShare = 1.0
	// slotWaitFactor multiplies the mean wait for a slot, so that few waits are longer.
	slotWaitFactor = 2
	// keptBackPerBlocked is the number of recently blocked arrivals for which one slot is kept back.
	keptBackPerBlocked = 4
	// maxKeptBackShare bounds the slots kept back.
	maxKeptBackShare = 0.125
)

// creditFloors notes a start of a request of the lane: every class that waits is owed its floor share of it.
func (s *Scheduler) creditFloors(started *lane) {
	for _, t := range s.tiers {
		for _, l := range t.lanes {
			if l.waiting > 0 && l != started {
				l.credit = math.Min(maxFloorCredit, l.credit+l.floor)
			}
		}
	}
	started.credit = math.Max(0, started.credit-1)
}

// dispatchFloor starts requests of classes that are owed a start, in slots of their own.
func (s *Scheduler) dispatchFloor(now time.Time) {
	for s.floorRunning < s.floorSlots() {
		l := s.mostOwed()
		if l == nil {
			return
		}
		s.startOrRefuse(now, s.firstOf(now, l.byServed.first().queue), true)
	}
}

// floorSlots is the number of slots on top of the batch size that the floor shares of the waiting classes take.
func (s *Scheduler) floorSlots() int {
	share := 0.0
	for _, t := range s.tiers {
		for _, l := range t.lanes {
			if l.waiting > 0 {
				share += l.floor
			}
		}
	}
	return max(1, int(math.Ceil(share*float64(s.slots))))
}

// mostOwed returns the waiting class that is owed most, at least one start; nil when there is none.
func (s *Scheduler) mostOwed() *lane {
	var most *lane
	for _, t := range s.tiers {
		for _, l := range t.lanes {
			if l.waiting > 0 && l.credit >= 1 && (most == nil || l.credit > most.credit) {
				most = l
			}
		}
	}
	return most
}

// enforceQueueLimit gives back what is too much after the arrival of a request: of the lowest tier, the youngest
// request of the organisation most over its share.
func (s *Scheduler) enforceQueueLimit(now time.Time, arrived *item) {
	for s.countedWaiting() > s.cfg.QueueLimit+s.preempting {
		it := s.displaced()
		if it == nil {
			return
		}
		if it != arrived {
			s.giveBack(now, it, Return, Displaced)
			continue
		}
		if s.preemptLowerThan(arrived.Tier) {
			continue
		}
		s.giveBack(now, it, Refuse, QueueFull)
	}
}

// countedWaiting is the number of waiting requests that the queue limit bounds.
func (s *Scheduler) countedWaiting() int {
	n := 0
	for _, t := range s.tiers {
		for _, l := range t.lanes {
			n += l.displaceable()
		}
	}
	return n
}

// displaced returns the request to give back from a full queue.
func (s *Scheduler) displaced() *item {
	for i := len(s.tiers) - 1; i >= 0; i-- {
		var most *queue
		for _, l := range s.tiers[i].lanes {
			if l.displaceable() == 0 {
				continue
			}
			q := l.byFinish.first().queue
			if most == nil || q.account.finish() > most.account.finish() {
				most = q
			}
		}
		if most != nil {
			return most.arrivals.Back().Value.(*item)
		}
	}
	return nil
}

// isPreemptible reports whether a running request may be stopped for one of a higher tier.
func (it *item) isPreemptible() bool {
	if it.state != running || it.onFloorSlot || !it.Preemptible || !it.Repeatable {
		return false
	}
	return it.Resumable || it.tokens == 0
}

// preemptForThreatened stops running requests of lower tiers, one for each waiting request that would miss its
// first-token target otherwise.
func (s *Scheduler) preemptForThreatened(now time.Time) {
	if !s.hasPreemptibleBelow(0) {
		return
	}
	s.findThreatened(now)
	for i, it := range s.threatened {
		if s.preempting <= i {
			s.preemptLowerThan(it.Tier)
		}
	}
}

// findThreatened keeps the list of waiting requests that may miss their target, highest tier first. Those that miss it
// whatever is done are left out.
func (s *Scheduler) findThreatened(now time.Time) {
	// A victim stops when the engine has computed its next token.
	stop := seconds(s.learned.interval.value)
	kept := s.threatened[:0]
	for _, it := range s.threatened {
		if it.state == waiting && !it.startedOnce && s.items[it.ID] == it && !s.isLate(now.Add(stop), it) {
			kept = append(kept, it)
		}
	}
	s.threatened = kept
	for len(s.threatened) < s.slots {
		it := s.byDue.first().item
		if it == nil {
			return
		}
		wait := time.Duration(float64(len(s.threatened)+1) * slotWaitFactor * float64(s.slotInterval()))
		if s.learned.service.known && !s.isLate(now.Add(stop+wait), it) {
			return
		}
		s.byDue.remove(dueItem{it})
		if !s.isLate(now.Add(stop), it) {
			s.insertThreatened(it)
		}
	}
}

// insertThreatened adds a request behind those of its tier and the tiers above.
func (s *Scheduler) insertThreatened(it *item) {
	i := sort.Search(len(s.threatened), func(i int) bool { return s.threatened[i].Tier > it.Tier })
	s.threatened = slices.Insert(s.threatened, i, it)
}

// isLate reports whether a request that starts at the given time misses its first-token target.
func (s *Scheduler) isLate(at time.Time, it *item) bool {
	return at.Add(s.learned.firstToken(&it.Request)).After(it.due)
}

// preemptLowerThan stops the cheapest running request below the tier.
func (s *Scheduler) preemptLowerThan(above int) bool {
	if !s.hasPreemptibleBelow(above) {
		return false
	}
	var victim *item
	for _, it := range s.active {
		if it.Tier > above && it.isPreemptible() && (victim == nil || cheaper(it, victim)) {
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

// cheaper reports whether stopping a loses less work than stopping b.
func cheaper(a, b *item) bool {
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

// workLost is the number of tokens to compute again when the request is stopped.
func (it *item) workLost() float64 {
	if it.Resumable {
		return 0
	}
	return uncached(&it.Request) + float64(it.tokens)
}

// latestStart is the last time at which a start can still meet the deadline.
func (s *Scheduler) latestStart(it *item) time.Time {
	if it.Deadline.IsZero() || s.cfg.Policy == PolicyFIFO {
		return it.Deadline
	}
	output := hopelessOutputShare * it.queue.lane.meanOutput.value * s.learned.interval.value
	return it.Deadline.Add(-s.learned.firstToken(&it.Request) - seconds(output))
}

// isHopelessArrival reports whether the deadline cannot be met, judged as if all lower work that may be displaced
// were gone.
func (s *Scheduler) isHopelessArrival(now time.Time, it *item) bool {
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

// noteBlocked remembers an arrival that finds every slot taken, some by a lower tier.
func (s *Scheduler) noteBlocked(now time.Time, it *item) {
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

// keptBack is the number of slots that requests of the tier must leave free for bursts of the tiers above.
func (s *Scheduler) keptBack(now time.Time, tierIndex int) int {
	blocked := 0.0
	for _, t := range s.tiers[:tierIndex] {
		blocked += t.blocked.read(now)
	}
	bound := int(maxKeptBackShare * float64(s.slots))
	return min(bound, int(blocked/keptBackPerBlocked))
}

func sortBySeq(items []*item) {
	sort.Slice(items, func(i, j int) bool { return items[i].seq < items[j].seq })
}

// Load tells what the scheduler holds.
func (s *Scheduler) Load(time.Time) Load {
	load := Load{
		Slots: s.slots, Running: s.running + s.floorRunning, Waiting: s.waiting, QueueLimit: s.cfg.QueueLimit,
		RunningByTier: make([]int, len(s.tiers)), WaitingByTier: make([]int, len(s.tiers)),
		TokenInterval: seconds(s.learned.interval.value),
	}
	for i, t := range s.tiers {
		load.RunningByTier[i] = t.running
		load.WaitingByTier[i] = t.waiting
		if t.holdsDisplaceable() {
			load.LowestTier, load.HasDisplaceable = i, true
		}
	}
	load.FirstToken = s.learned.firstToken(&Request{})
	if s.running >= s.slots {
		load.FirstToken += time.Duration(s.waiting+1) * s.slotInterval()
	}
	return load
}

func (t *tier) holdsDisplaceable() bool {
	if t.preemptible > 0 {
		return true
	}
	for _, l := range t.lanes {
		if l.displaceable() > 0 {
			return true
		}
	}
	return false
}
