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

// phase is the state of a request in the test's model.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	phasePreempting
	phaseEnded
)

// trackedRequest is a request in the test's model, updated from the scheduler's actions.
type trackedRequest struct {
	Request
	phase    phase
	tokens   int
	started  bool // was started at least once
	restarts int
}

// model feeds events to a scheduler and checks every action against its own record of the requests.
type model struct {
	t      *rapid.T
	s      *Scheduler
	cfg    Config
	now    time.Time
	reqs   map[string]*trackedRequest
	order  []string
	trace  []Action
	starts int
}

func newModel(t *rapid.T, cfg Config) *model {
	return &model{t: t, s: New(cfg), cfg: cfg, now: epoch, reqs: make(map[string]*trackedRequest)}
}

func (m *model) submit(r Request) {
	m.reqs[r.ID] = &trackedRequest{Request: r}
	m.order = append(m.order, r.ID)
	m.apply(m.s.Submit(m.now, r))
}

// in returns the IDs of the requests in a phase, in the order of their arrival.
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
			m.t.Fatalf("got %+v for an unknown request, want actions for submitted requests only", a)
		}
		switch a.Kind {
		case Start:
			m.expect(a, r, phaseWaiting)
			r.phase, r.started = phaseRunning, true
			m.starts++
		case Preempt:
			m.expect(a, r, phaseRunning)
			m.checkPreempt(r)
			r.phase = phasePreempting
		case Return, Refuse:
			m.expect(a, r, phaseWaiting)
			if a.Started != r.started {
				m.t.Fatalf("got %+v, want Started %v", a, r.started)
			}
			r.phase = phaseEnded
			m.checkShed(a, r, actions[i+1:])
		default:
			m.t.Fatalf("unknown action %+v", a)
		}
	}
	m.trace = append(m.trace, actions...)
}

func (m *model) expect(a Action, r *trackedRequest, want phase) {
	if r.phase != want {
		m.t.Fatalf("got %+v for a request in phase %d, want phase %d", a, r.phase, want)
	}
}

func (r *trackedRequest) canPreempt() bool {
	return r.phase == phaseRunning && r.Preemptible && r.Repeatable && (r.Resumable || r.tokens == 0)
}

// checkPreempt checks that the victim is preemptible and that a request of a higher tier is waiting.
func (m *model) checkPreempt(victim *trackedRequest) {
	if !victim.canPreempt() {
		m.t.Fatalf("preempted %+v, which is not preemptible", victim)
	}
	for _, id := range m.in(phaseWaiting) {
		if m.reqs[id].Tier < victim.Tier {
			return
		}
	}
	m.t.Fatalf("preempted %s of tier %d, want no preemption unless a request of a higher tier is waiting", victim.ID, victim.Tier)
}

// checkShed checks that a request is shed for capacity only if no request of a lower tier could have been shed instead. Up to
// reservedQueuePlaces requests per class don't count towards the queue limit, and can't be shed.
func (m *model) checkShed(a Action, shed *trackedRequest, rest []Action) {
	if a.Reason != QueueFull && a.Reason != Displaced {
		return
	}
	if shed.started {
		m.t.Fatalf("shed %s, which was started before", shed.ID)
	}
	alsoShed := make(map[string]bool)
	for _, later := range rest {
		alsoShed[later.ID] = true
	}
	lower := make(map[string]int)
	for _, id := range m.in(phaseWaiting) {
		r := m.reqs[id]
		if r.Tier > shed.Tier && !r.started && !alsoShed[id] {
			lower[fmt.Sprint(r.Tier, "/", r.Class)]++
		}
	}
	for class, n := range lower {
		if n > reservedQueuePlaces {
			m.t.Fatalf("shed %s of tier %d, want one of the %d waiting requests of the lower tier and class %s shed instead", shed.ID, shed.Tier, n, class)
		}
	}
	if a.Reason != QueueFull {
		return
	}
	preempting := len(m.in(phasePreempting))
	for _, id := range m.in(phaseRunning) {
		if r := m.reqs[id]; r.Tier > shed.Tier && r.canPreempt() && preempting == 0 && !m.isOnFloorSlot(r) {
			m.t.Fatalf("refused %s of tier %d, want running preemptible request %s of tier %d preempted instead", shed.ID, shed.Tier, id, r.Tier)
		}
	}
}

// isOnFloorSlot reports whether the request runs in a floor slot, from which it can't be preempted.
func (m *model) isOnFloorSlot(r *trackedRequest) bool { return m.s.items[r.ID].onFloorSlot }

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

// step draws and applies one event.
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
		m.completePreemption()
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

// completePreemption completes the preemption of the earliest request by a requeue.
func (m *model) completePreemption() {
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

// checkCounts compares the scheduler's counts with the model's.
func (m *model) checkCounts() {
	load := m.s.Load(m.now)
	running := len(m.in(phaseRunning)) + len(m.in(phasePreempting))
	if load.Running != running || load.Waiting != len(m.in(phaseWaiting)) {
		m.t.Fatalf("got load %+v, want %d running, %d waiting", load, running, len(m.in(phaseWaiting)))
	}
	if m.s.running > m.s.slots {
		m.t.Fatalf("got %d running requests outside floor slots, want at most the %d slots", m.s.running, m.s.slots)
	}
	bound := m.cfg.QueueLimit + len(m.in(phasePreempting)) + len(m.s.active)
	if counted := m.s.displaceableWaiting(); counted > bound {
		m.t.Fatalf("%d requests are waiting, limit %d", counted, m.cfg.QueueLimit)
	}
}

// drain finishes all requests and checks that none is lost and that all counts return to zero.
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
		m.t.Fatalf("requests %v still wait at an idle backend server", left)
	}
	if len(m.s.items) != 0 || m.s.waiting != 0 || m.s.running != 0 || m.s.floorRunning != 0 || m.s.preempting != 0 {
		m.t.Fatalf("got idle scheduler %+v, want all counts 0", m.s)
	}
	for i, t := range m.s.tiers {
		if t.waiting != 0 || t.running != 0 || t.preemptible != 0 {
			m.t.Fatalf("got idle tier %d: %+v, want all counts 0", i, t)
		}
	}
}

// TestSchedulerInvariants checks for random events that every request ends exactly once, that no request is shed or preempted in
// favour of a lower tier, and that the limits hold.
func TestSchedulerInvariants(t *testing.T) {
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

// event is a recorded input.
type event func(s *Scheduler) []Action

// TestReplayIsDeterministic checks that the same inputs give the same decisions.
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

// saturatedScheduler keeps a scheduler overloaded: every request runs for a number of rounds, and arrivals exceed the capacity.
type saturatedScheduler struct {
	s         *Scheduler
	now       time.Time
	n         int
	remaining map[string]int // remaining rounds by request ID
	reqs      map[string]Request
	order     []string // IDs of the running requests, by start
	onStart   func(Request)
	onToken   func(Request)
}

func newSaturatedScheduler(cfg Config, onStart func(Request)) *saturatedScheduler {
	return &saturatedScheduler{s: New(cfg), now: epoch, remaining: make(map[string]int), reqs: make(map[string]Request), onStart: onStart, onToken: func(Request) {}}
}

func (x *saturatedScheduler) submit(r Request, rounds int) {
	x.n++
	r.ID = fmt.Sprintf("r%d", x.n)
	x.reqs[r.ID] = r
	x.remaining[r.ID] = rounds
	x.apply(x.s.Submit(x.now, r))
}

func (x *saturatedScheduler) apply(actions []Action) {
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

// round gives every running request one token and finishes those without remaining rounds.
func (x *saturatedScheduler) round() {
	x.now = x.now.Add(50 * time.Millisecond)
	runningNow := x.order
	x.order = nil
	for _, id := range runningNow {
		x.apply(x.s.Progress(x.now, id, 1))
		x.onToken(x.reqs[id])
		x.remaining[id]--
		if x.remaining[id] > 0 {
			x.order = append(x.order, id)
			continue
		}
		x.apply(x.s.Finish(x.now, id))
	}
	x.apply(x.s.Tick(x.now))
}

// TestFloorWindow checks that every waiting class gets a start within its floor window, even if tier 0 alone exceeds the capacity,
// and that tier 0 loses no slot by it. For requests of equal length the window is 1/floor starts until the class has credit for
// one, plus the starts of all slots once for each other class that may have credit before it.
func TestFloorWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		rounds := rapid.IntRange(1, 10).Draw(t, "rounds")
		floor := rapid.SampledFrom([]float64{0.01, 0.02, 0.05}).Draw(t, "floor")
		const tiers = 6
		since := make([]int, tiers)
		most := make([]int, tiers)
		x := newSaturatedScheduler(Config{Slots: slots, QueueLimit: 4 * slots}, func(r Request) {
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
				t.Fatalf("got %d of %d slots used while tier 0 waits, want all", x.s.running, x.s.slots)
			}
		}
		window := int(math.Ceil(1/floor)) + tiers*(slots+x.s.floorSlots())
		for tier, n := range most {
			if n > window {
				t.Errorf("tier %d waited for %d starts, want at most %d", tier, n, window)
			}
		}
	})
}

// TestFairShare checks that organisations with permanently waiting requests are served in proportion to their weights. The bound
// is that of virtual token counters: twice what one organisation can be charged for in all slots at once.
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
		x := newSaturatedScheduler(Config{Slots: slots, QueueLimit: 20 * n, FloorShare: -1}, func(r Request) {
			served[indexOf[r.Organisation]] += prompt / r.Weight
		})
		x.onToken = func(r Request) { served[indexOf[r.Organisation]] += 1 / r.Weight }
		for round := range 1200 {
			for i := range n {
				// The first organisation sends the most requests, and those with the longest answers.
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
					t.Fatalf("organisation %d was served %.0f weighted tokens more than %d, want at most %.0f more: %v", i, gap, j, bound, served)
				}
			}
		}
	})
}
