package sched

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// phase is where the model of the agent believes a request to be.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	phasePreempting
	phaseEnded
)

// tracked is a request as seen from outside the scheduler.
type tracked struct {
	Request
	phase    phase
	tokens   int
	begun    bool
	restarts int
}

// model feeds a scheduler and checks every action against what it knows from the outside.
type model struct {
	t      *rapid.T
	s      *Scheduler
	cfg    Config
	now    time.Time
	reqs   map[string]*tracked
	order  []string
	trace  []Action
	starts int
}

func newModel(t *rapid.T, cfg Config) *model {
	return &model{t: t, s: New(cfg), cfg: cfg, now: epoch, reqs: make(map[string]*tracked)}
}

func (m *model) submit(r Request) {
	m.reqs[r.ID] = &tracked{Request: r}
	m.order = append(m.order, r.ID)
	m.apply(m.s.Submit(m.now, r))
}

// in returns the ids in a phase, by arrival.
func (m *model) in(p phase) []string {
	var ids []string
	for _, id := range m.order {
		if m.reqs[id].phase == p {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *model) apply(actions []Action) {
	for i, a := range actions {
		r := m.reqs[a.ID]
		if r == nil {
			m.t.Fatalf("action on unknown request: %+v", a)
		}
		switch a.Kind {
		case Start:
			m.expect(a, r, phaseWaiting)
			r.phase, r.begun = phaseRunning, true
			m.starts++
		case Preempt:
			m.expect(a, r, phaseRunning)
			m.checkPreempt(r)
			r.phase = phasePreempting
		case Return, Refuse:
			m.expect(a, r, phaseWaiting)
			if a.Started != r.begun {
				m.t.Fatalf("%+v: started is %v", a, r.begun)
			}
			r.phase = phaseEnded
			m.checkShed(a, r, actions[i+1:])
		default:
			m.t.Fatalf("unknown action %+v", a)
		}
	}
	m.trace = append(m.trace, actions...)
}

func (m *model) expect(a Action, r *tracked, want phase) {
	if r.phase != want {
		m.t.Fatalf("%+v in phase %d, want %d", a, r.phase, want)
	}
}

func (r *tracked) stoppable() bool {
	return r.phase == phaseRunning && r.Preemptible && r.Repeatable && (r.Resumable || r.tokens == 0)
}

// checkPreempt: only for a higher tier, only what may be stopped.
func (m *model) checkPreempt(victim *tracked) {
	if !victim.stoppable() {
		m.t.Fatalf("preempted %+v", victim)
	}
	for _, id := range m.in(phaseWaiting) {
		if m.reqs[id].Tier < victim.Tier {
			return
		}
	}
	m.t.Fatalf("preempted %s of tier %d, and nothing higher waits", victim.ID, victim.Tier)
}

// checkShed: a request is shed for capacity only where nothing of a lower tier could have gone in its place. Each
// class has a few places of its own on top of the queue limit, which nobody else competes for.
func (m *model) checkShed(a Action, shed *tracked, rest []Action) {
	if a.Reason != QueueFull && a.Reason != Displaced {
		return
	}
	if shed.begun {
		m.t.Fatalf("shed %s, which has run", shed.ID)
	}
	going := make(map[string]bool)
	for _, later := range rest {
		going[later.ID] = true
	}
	lower := make(map[string]int)
	for _, id := range m.in(phaseWaiting) {
		r := m.reqs[id]
		if r.Tier > shed.Tier && !r.begun && !going[id] {
			lower[fmt.Sprint(r.Tier, "/", r.Class)]++
		}
	}
	for class, n := range lower {
		if n > floorPlaces {
			m.t.Fatalf("shed %s of tier %d while %d of class %s wait", shed.ID, shed.Tier, n, class)
		}
	}
	if a.Reason != QueueFull {
		return
	}
	preempting := len(m.in(phasePreempting))
	for _, id := range m.in(phaseRunning) {
		if r := m.reqs[id]; r.Tier > shed.Tier && r.stoppable() && preempting == 0 && !m.floorMayRun(r) {
			m.t.Fatalf("refused %s of tier %d while %s of tier %d runs displaceably", shed.ID, shed.Tier, id, r.Tier)
		}
	}
}

// floorMayRun reports whether the request may occupy a floor slot, which no higher tier competes for.
func (m *model) floorMayRun(r *tracked) bool { return m.s.items[r.ID].onFloorSlot }

func drawRequest(t *rapid.T, n int, now time.Time) Request {
	tier := rapid.IntRange(0, 5).Draw(t, "tier")
	r := Request{
		ID:               fmt.Sprintf("r%d", n),
		Organisation:     fmt.Sprintf("org%d", rapid.IntRange(0, 3).Draw(t, "org")),
		Class:            fmt.Sprintf("class%d", tier),
		Tier:             tier,
		Weight:           float64(rapid.IntRange(1, 3).Draw(t, "weight")),
		FirstTokenTarget: time.Duration(rapid.IntRange(0, 2000).Draw(t, "target")) * time.Millisecond,
		PromptTokens:     rapid.IntRange(0, 500).Draw(t, "prompt"),
		Repeatable:       rapid.Bool().Draw(t, "repeatable"),
		Preemptible:      rapid.Bool().Draw(t, "preemptible"),
		Resumable:        rapid.Bool().Draw(t, "resumable"),
	}
	if rapid.Bool().Draw(t, "deadline") {
		r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline_ms")) * time.Millisecond)
	}
	return r
}

// step draws and carries out one event.
func (m *model) step(n int) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(m.t, "pause")) * time.Millisecond)
	busy := append(m.in(phaseRunning), m.in(phasePreempting)...)
	switch op := rapid.IntRange(0, 11).Draw(m.t, "op"); {
	case op <= 4:
		m.submit(drawRequest(m.t, n, m.now))
	case op <= 6 && len(busy) > 0:
		id := rapid.SampledFrom(busy).Draw(m.t, "progress")
		tokens := rapid.IntRange(1, 20).Draw(m.t, "tokens")
		m.reqs[id].tokens += tokens
		m.apply(m.s.Progress(m.now, id, tokens))
	case op <= 8 && len(busy) > 0:
		m.finish(rapid.SampledFrom(busy).Draw(m.t, "finish"))
	case op == 9:
		m.settlePreemption()
	case op == 10:
		if ids := m.in(phaseWaiting); len(ids) > 0 {
			id := rapid.SampledFrom(ids).Draw(m.t, "cancel")
			m.reqs[id].phase = phaseEnded
			m.apply(m.s.Cancel(m.now, id))
		}
	default:
		m.apply(m.s.Tick(m.now))
	}
	m.checkCounts()
}

func (m *model) finish(id string) {
	m.reqs[id].phase = phaseEnded
	m.apply(m.s.Finish(m.now, id))
}

// settlePreemption completes the oldest preemption by a requeue.
func (m *model) settlePreemption() {
	ids := m.in(phasePreempting)
	if len(ids) == 0 {
		return
	}
	r := m.reqs[ids[0]]
	r.phase = phaseWaiting
	r.restarts++
	if !r.Resumable {
		r.tokens = 0
	}
	m.apply(m.s.Requeue(m.now, r.ID))
}

// checkCounts compares the scheduler's own counts with the model's.
func (m *model) checkCounts() {
	load := m.s.Load(m.now)
	running := len(m.in(phaseRunning)) + len(m.in(phasePreempting))
	if load.Running != running || load.Waiting != len(m.in(phaseWaiting)) {
		m.t.Fatalf("load %+v, want %d running, %d waiting", load, running, len(m.in(phaseWaiting)))
	}
	if m.s.running > m.s.slots {
		m.t.Fatalf("%d requests in %d slots", m.s.running, m.s.slots)
	}
	bound := m.cfg.QueueLimit + len(m.in(phasePreempting)) + len(m.s.active)
	if counted := m.s.countedWaiting(); counted > bound {
		m.t.Fatalf("%d requests wait, limit %d", counted, m.cfg.QueueLimit)
	}
}

// drain ends everything that is left and checks that nothing is lost.
func (m *model) drain() {
	for range 10_000 {
		if ids := m.in(phasePreempting); len(ids) > 0 {
			m.finish(ids[0])
		} else if ids := m.in(phaseRunning); len(ids) > 0 {
			m.finish(ids[0])
		} else {
			break
		}
	}
	if left := m.in(phaseWaiting); len(left) > 0 {
		m.t.Fatalf("lost: %v wait at an idle backend server", left)
	}
	if len(m.s.items) != 0 || m.s.waiting != 0 || m.s.running != 0 || m.s.floorRunning != 0 || m.s.preempting != 0 {
		m.t.Fatalf("left over: %+v", m.s)
	}
	for i, t := range m.s.tiers {
		if t.waiting != 0 || t.running != 0 || t.preemptible != 0 {
			m.t.Fatalf("tier %d left over: %+v", i, t)
		}
	}
}

// Whatever the order of events, every request ends exactly once, nothing of a higher tier is shed or preempted for a
// lower one, and the limits hold.
func TestEventsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Slots:      rapid.IntRange(1, 4).Draw(t, "slots"),
			QueueLimit: rapid.IntRange(0, 6).Draw(t, "queue"),
		}
		cfg.MaxSlots = cfg.Slots + rapid.IntRange(0, 2).Draw(t, "more")
		m := newModel(t, cfg)
		steps := rapid.IntRange(1, 150).Draw(t, "steps")
		for n := range steps {
			m.step(n)
		}
		m.drain()
	})
}

// event is one recorded input.
type event func(s *Scheduler) []Action

// The same inputs give the same decisions.
func TestReplayIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Slots: 3, MaxSlots: 6, QueueLimit: 10}
		events := make([]event, rapid.IntRange(1, 200).Draw(t, "events"))
		now := epoch
		for n := range events {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			events[n] = drawEvent(t, n, now)
		}
		play := func() (trace [][]Action) {
			s := New(cfg)
			for _, e := range events {
				trace = append(trace, e(s))
			}
			return trace
		}
		if a, b := play(), play(); !reflect.DeepEqual(a, b) {
			t.Fatalf("replay differs:\n%v\n%v", a, b)
		}
	})
}

func drawEvent(t *rapid.T, n int, now time.Time) event {
	id := fmt.Sprintf("r%d", rapid.IntRange(0, max(0, n-1)).Draw(t, "id"))
	switch rapid.IntRange(0, 7).Draw(t, "op") {
	case 0, 1, 2, 3:
		r := drawRequest(t, n, now)
		return func(s *Scheduler) []Action { return s.Submit(now, r) }
	case 4:
		return func(s *Scheduler) []Action { return s.Progress(now, id, 5) }
	case 5:
		return func(s *Scheduler) []Action { return s.Finish(now, id) }
	case 6:
		return func(s *Scheduler) []Action { return s.Requeue(now, id) }
	default:
		return func(s *Scheduler) []Action { return s.Tick(now) }
	}
}

// saturation keeps a scheduler full: every request runs for a number of rounds and arrivals exceed the capacity.
type saturation struct {
	s       *Scheduler
	now     time.Time
	n       int
	left    map[string]int // rounds that a running request needs
	reqs    map[string]Request
	order   []string // running, by start
	onStart func(Request)
	onToken func(Request)
}

func newSaturation(cfg Config, onStart func(Request)) *saturation {
	return &saturation{s: New(cfg), now: epoch, left: make(map[string]int), reqs: make(map[string]Request), onStart: onStart, onToken: func(Request) {}}
}

func (x *saturation) submit(r Request, rounds int) {
	x.n++
	r.ID = fmt.Sprintf("r%d", x.n)
	x.reqs[r.ID] = r
	x.left[r.ID] = rounds
	x.apply(x.s.Submit(x.now, r))
}

func (x *saturation) apply(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Start:
			x.order = append(x.order, a.ID)
			x.onStart(x.reqs[a.ID])
		case Return, Refuse:
			delete(x.reqs, a.ID)
		}
	}
}

// round gives every running request one token and ends those that have had theirs.
func (x *saturation) round() {
	x.now = x.now.Add(50 * time.Millisecond)
	runningNow := x.order
	x.order = nil
	for _, id := range runningNow {
		x.apply(x.s.Progress(x.now, id, 1))
		x.onToken(x.reqs[id])
		x.left[id]--
		if x.left[id] > 0 {
			x.order = append(x.order, id)
			continue
		}
		x.apply(x.s.Finish(x.now, id))
	}
	x.apply(x.s.Tick(x.now))
}

// Every class that waits gets a start within its floor window, also when tier 0 alone is more than the capacity, and
// tier 0 loses no slot by it. With answers of one length the window is 1/floor starts until the class is owed one, and
// then the starts of all slots once for each other class that may be owed one before it.
func TestFloorWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		rounds := rapid.IntRange(1, 10).Draw(t, "rounds")
		floor := rapid.SampledFrom([]float64{0.01, 0.02, 0.05}).Draw(t, "floor")
		const tiers = 6
		since := make([]int, tiers)
		most := make([]int, tiers)
		x := newSaturation(Config{Slots: slots, QueueLimit: 4 * slots}, func(r Request) {
			for i := range since {
				since[i]++
				most[i] = max(most[i], since[i])
			}
			since[r.Tier] = 0
		})
		submitAll := func() {
			for range 3 * slots {
				x.submit(Request{Tier: 0, Class: "c0", Organisation: "a", FloorShare: floor}, rounds)
			}
			for tier := 1; tier < tiers; tier++ {
				x.submit(Request{Tier: tier, Class: fmt.Sprintf("c%d", tier), Organisation: "a", FloorShare: floor}, rounds)
			}
		}
		for range 4 * int(1/floor) {
			submitAll()
			x.round()
			if x.s.tiers[0].waiting > 0 && x.s.running != x.s.slots {
				t.Fatalf("%d of %d slots used while tier 0 waits", x.s.running, x.s.slots)
			}
		}
		window := int(math.Ceil(1/floor)) + tiers*(slots+x.s.floorSlots())
		for tier, n := range most {
			if n > window {
				t.Errorf("tier %d waited through %d starts, window %d", tier, n, window)
			}
		}
	})
}

// Organisations that always have waiting work are served by their weights. The bound is that of virtual token
// counters: twice what one organisation can be charged for in all slots at once.
func TestFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		n := rapid.IntRange(2, 5).Draw(t, "organisations")
		weights := make([]float64, n)
		for i := range weights {
			weights[i] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
		}
		const prompt, longest = 10, 40
		served := make([]float64, n)
		indexOf := make(map[string]int, n)
		for i := range n {
			indexOf[fmt.Sprintf("org%d", i)] = i
		}
		x := newSaturation(Config{Slots: slots, QueueLimit: 20 * n, FloorShare: -1}, func(r Request) {
			served[indexOf[r.Organisation]] += prompt / r.Weight
		})
		x.onToken = func(r Request) { served[indexOf[r.Organisation]] += 1 / r.Weight }
		for round := range 1200 {
			for i := range n {
				// The first organisation sends most, and the longest answers.
				for range 1 + 2*max(0, 1-i) {
					r := Request{Organisation: fmt.Sprintf("org%d", i), Weight: weights[i], PromptTokens: prompt}
					if round%4 == 0 {
						x.submit(r, longest/(1+i))
					}
				}
			}
			x.round()
		}
		bound := 2 * float64(slots) * (prompt + longest)
		for i := range n {
			for j := range n {
				if gap := served[i] - served[j]; gap > bound {
					t.Fatalf("organisation %d was served %.0f more than %d, bound %.0f: %v", i, gap, j, bound, served)
				}
			}
		}
	})
}
