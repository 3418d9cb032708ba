package roster_test

import (
	"fmt"
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/core/roster"
)

const (
	// tickInterval is the resolution of the virtual time.
	tickInterval = 50 * time.Millisecond
	// electionTimeout is how recent the answer of a learner must be for its promotion.
	electionTimeout = 600 * time.Millisecond
	// catchUpLimit is the time from a successor's start within which the group must tolerate the next loss.
	catchUpLimit = 4 * time.Second
	// maxStepsPerCheck is the maximum number of steps at one check, as in internal/process.
	maxStepsPerCheck = 4
	// observedAfter is how long the simulated group runs before anything happens: a leader older than every limit.
	observedAfter = 2 * roster.UnresponsiveLimit
)

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// process is a running control member.
type process struct {
	id, incarnation uint64
	// answersAfter is the time from its admission to its first answer; it sends nothing but announcements before.
	answersAfter time.Duration
	answersEvery time.Duration // time between two answers; 0: each tick
	hangs        bool          // never answers; it is heard
	isLeaving    bool
	pausedUntil  time.Time // it neither sends nor observes before
	contacts     *roster.Contacts
	announced    map[uint64]roster.Announcement // heard from others while it led
	leaves       map[uint64]time.Time           // announced by others while it led

	started    time.Time
	hadVote    bool
	admitted   time.Time // true time of its latest admission; zero if it is no member
	heard      time.Time // true time of its latest message to the leader
	answered   time.Time // true time of its latest answer to the leader
	answeredIn int       // number of the leadership of its latest answer
}

// simulation is a group in virtual time. Each process has its own contacts, the leader decides. Every step is checked against what
// truly happened.
type simulation struct {
	t           testingT
	at          time.Time
	conf        raft.Configuration
	index       uint64 // latest log entry
	tolerance   int
	processes   map[uint64]*process
	leader      uint64
	leaderSince time.Time
	leaderships int
	unheard     bool // announcements are lost
	steps       []string
	removed     map[uint64]roster.Removal // true times
	said        map[uint64]time.Time      // true times of the latest announcements that reached a leader
}

// newSimulation returns a group of the given size that has been led by member 1 for observedAfter.
func newSimulation(t testingT, size uint64, tolerance int) *simulation {
	s := &simulation{
		t: t, at: now, conf: voters(size), tolerance: tolerance, index: size,
		processes: make(map[uint64]*process), removed: make(map[uint64]roster.Removal), said: make(map[uint64]time.Time),
	}
	for _, m := range s.conf.Members {
		s.start(&process{id: m.ID, incarnation: m.Incarnation, hadVote: true})
	}
	s.lead(1)
	s.run(observedAfter)
	return s
}

func (s *simulation) start(p *process) *process {
	p.started = s.at
	p.contacts = roster.NewContacts(p.id, s.at)
	p.announced = make(map[uint64]roster.Announcement)
	p.leaves = make(map[uint64]time.Time)
	if _, ok := s.conf.Member(p.id); ok && p.hadVote {
		p.admitted = s.at
	}
	s.processes[p.id] = p
	return p
}

// lead makes another member the leader.
func (s *simulation) lead(id uint64) {
	s.leader, s.leaderSince = id, s.at
	s.leaderships++
}

// leadAnother makes the running voter with the next higher id the leader.
func (s *simulation) leadAnother() {
	ids := s.runningVoters()
	for _, id := range ids {
		if id > s.leader {
			s.lead(id)
			return
		}
	}
	s.lead(ids[0])
}

// lose ends a process. Another member leads at once if it led.
func (s *simulation) lose(id uint64) {
	delete(s.processes, id)
	if id == s.leader {
		s.leadAnother()
	}
}

// runningVoters returns the ids of the voters that run with the disk of the configuration and answer.
func (s *simulation) runningVoters() []uint64 {
	var ids []uint64
	for _, m := range s.conf.Members {
		p := s.processes[m.ID]
		if !m.Learner && p != nil && p.incarnation == m.Incarnation && !p.hangs {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// tolerated returns the number of voters that can be lost now.
func (s *simulation) tolerated() int { return len(s.runningVoters()) - s.conf.Quorum() }

// run advances the time.
func (s *simulation) run(d time.Duration) {
	for end := s.at.Add(d); s.at.Before(end); {
		s.at = s.at.Add(tickInterval)
		for _, p := range s.processes {
			s.exchange(p)
		}
		for _, p := range s.processes {
			s.check(p)
		}
	}
}

// isDue reports whether a process does now what it does at each check. Processes do so at different times.
func (s *simulation) isDue(p *process) bool {
	phase := time.Duration(p.id) * tickInterval
	return (s.at.Sub(now)+phase)%checkInterval == 0
}

// exchange lets a process send what it would send at this time.
func (s *simulation) exchange(p *process) {
	if s.at.Before(p.pausedUntil) {
		return
	}
	m, ok := s.conf.Member(p.id)
	if ok && m.Learner || !ok || m.Incarnation != p.incarnation {
		s.announce(p)
	}
	if !ok || !m.Learner && m.Incarnation != p.incarnation || s.at.Sub(p.admitted) < p.answersAfter {
		return
	}
	p.heard = s.at
	for _, other := range s.processes {
		other.contacts.Record(p.id, s.at)
	}
	if !p.hangs && s.at.Sub(p.answered) >= p.answersEvery {
		p.answered, p.answeredIn = s.at, s.leaderships
	}
}

func (s *simulation) announce(p *process) {
	if !s.isDue(p) || s.unheard || p.isLeaving {
		return
	}
	leader := s.processes[s.leader]
	leader.announced[p.id] = announcementOf(p, s.at)
	delete(leader.leaves, p.id)
	s.said[p.id] = s.at
}

func announcementOf(p *process, at time.Time) roster.Announcement {
	return roster.Announcement{Member: raft.Member{ID: p.id, Incarnation: p.incarnation, Address: "a"}, Heard: at}
}

// check lets a process observe the configuration and change it if it leads.
func (s *simulation) check(p *process) {
	if !s.isDue(p) || s.at.Before(p.pausedUntil) {
		return
	}
	p.contacts.Observe(s.at, s.conf)
	if p.id == s.leader {
		s.changeMembership(p)
	}
}

func (s *simulation) changeMembership(leader *process) {
	for range maxStepsPerCheck {
		leader.contacts.Observe(s.at, s.conf)
		step := roster.NextStep(s.view(leader))
		if step.Action == roster.None {
			return
		}
		s.steps = append(s.steps, fmt.Sprintf("%v %s %d: %s", s.at.Sub(now), step.Action, step.Member.ID, step.Reason))
		s.apply(step)
	}
}

func (s *simulation) view(leader *process) roster.View {
	v := roster.View{
		Now: s.at, Self: s.leader, LeaderSince: s.leaderSince, ObservedSince: leader.contacts.ObservedSince(),
		Configuration: s.conf, FaultTolerance: s.tolerance,
		HasCaughtUp: func(id uint64) bool { return s.hasCaughtUp(id) },
		Evidence:    func(id uint64) roster.Evidence { return s.evidence(leader, id) },
		Removal:     leader.contacts.Removal,
	}
	for _, a := range leader.announced {
		v.Announcements = append(v.Announcements, a)
	}
	return v
}

func (s *simulation) evidence(leader *process, id uint64) roster.Evidence {
	e := leader.contacts.Evidence(id)
	e.Answered = s.answeredAt(id)
	e.Leaves = leader.leaves[id]
	return e
}

// answeredAt returns when a member last answered this leader in its present membership, or the zero time.
func (s *simulation) answeredAt(id uint64) time.Time {
	p := s.processes[id]
	if p == nil || p.answeredIn != s.leaderships || p.answered.Before(p.admitted) {
		return time.Time{}
	}
	return p.answered
}

func (s *simulation) hasCaughtUp(id uint64) bool {
	return s.at.Sub(s.answeredAt(id)) <= electionTimeout
}

// apply checks and carries out a step.
func (s *simulation) apply(step roster.Step) {
	s.t.Helper()
	s.index++
	p, m := s.processes[step.Member.ID], step.Member
	switch step.Action {
	case roster.AddLearner:
		s.checkAdmission(m)
		m.Learner, m.Incarnation, m.Added = true, 0, s.index
		if p != nil {
			p.admitted = s.at
		}
	case roster.Promote:
		m.Learner, m.Incarnation = false, p.incarnation
		p.hadVote = true
	case roster.Remove:
		s.checkRemoval(p, step)
		s.removed[m.ID] = roster.Removal{Member: m, At: s.at}
	}
	s.conf = changed(s.conf, step.Action, m)
}

// checkAdmission fails the test unless the member has announced itself since its last removal, or then had another disk.
func (s *simulation) checkAdmission(m raft.Member) {
	s.t.Helper()
	r, ok := s.removed[m.ID]
	if !ok || r.Member.Incarnation != 0 && r.Member.Incarnation != m.Incarnation {
		return
	}
	if !s.said[m.ID].After(r.At) {
		s.t.Fatalf("member %d is admitted %v after its removal without an announcement since: %q", m.ID, s.at.Sub(r.At), s.steps)
	}
}

// checkRemoval fails the test if a member is removed that runs and has, since its admission, neither been silent nor left the leader
// without an answer for the limit.
func (s *simulation) checkRemoval(p *process, step roster.Step) {
	s.t.Helper()
	if p == nil || p.isLeaving || !step.Member.Learner && step.Member.Incarnation != p.incarnation {
		return
	}
	silence := min(s.at.Sub(p.admitted), s.at.Sub(p.heard), s.at.Sub(s.said[p.id]))
	wait := min(s.at.Sub(p.admitted), s.at.Sub(p.answered), s.at.Sub(s.leaderSince))
	if silence < roster.SilenceLimit && wait < roster.UnresponsiveLimit {
		s.t.Fatalf("member %d is removed, silent for %v and without an answer for %v: %q", p.id, silence, wait, s.steps)
	}
}

// changed returns the configuration after a change.
func changed(c raft.Configuration, action roster.Action, m raft.Member) raft.Configuration {
	var next raft.Configuration
	for _, known := range c.Members {
		if known.ID != m.ID {
			next.Members = append(next.Members, known)
		}
	}
	if action != roster.Remove {
		next.Members = append(next.Members, m)
	}
	return next
}
