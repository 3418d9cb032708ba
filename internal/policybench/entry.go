package policybench

import (
	"fmt"
	"time"

	"github.com/guavastack/guavastack/internal/core/retry"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/sched"
	"github.com/guavastack/guavastack/internal/core/verdict"
)

// noIncarnation is the incarnation of the simulated servers, which do not restart.
const noIncarnation = ""

// request is a simulated request.
type request struct {
	id           string
	attemptID    string
	class        *class
	organisation string
	prompt       int
	output       int
	arrived      time.Time
	due          time.Time
	deadline     time.Time
	measured     bool // arrived in the burst
	service      bool // for a plain service

	entry      *entry
	dispatches int
	exclude    []string
	dispatched time.Time

	firstStart time.Time
	started    time.Time // the start that produced the first token
	first      time.Time
	last       time.Time
	tokens     int
	computed   int // prompt and output tokens computed so far
}

// entry is a simulated entry with the table, the router and the retry rules of the core.
type entry struct {
	sim    *simulation
	zone   int
	table  *route.Table
	router *route.Router
	budget *retry.Budget
}

func newEntry(sim *simulation, zone int) *entry {
	table := route.NewTable(route.Config{})
	return &entry{
		sim: sim, zone: zone, table: table, budget: retry.NewBudget(),
		router: route.NewRouter(table, route.RouterConfig{Policy: sim.policies.Route}),
	}
}

// dispatch sends a request to the backend server that the router chooses.
func (e *entry) dispatch(r *request) {
	now := e.sim.clock.now
	kind, model := route.KindEngine, engineModel
	if r.service {
		kind, model = route.KindService, serviceModel
	}
	backend, err := e.router.Choose(now, route.Request{
		Kind: kind, Model: model, Zone: zoneName(e.zone), Tier: r.class.tier, PromptTokens: r.prompt, Exclude: r.exclude,
		FirstTokenTarget: r.class.firstToken,
	}, e.sim.rand.Uint64())
	if err != nil {
		e.sim.recordLost(r)
		return
	}
	r.dispatches++
	r.attemptID = fmt.Sprintf("%s.%d", r.id, r.dispatches)
	r.dispatched = now
	e.table.RecordDispatch(now, backend.ID, r.prompt, nil)
	s := e.sim.servers[backend.ID]
	e.sim.clock.after(e.sim.delay(e.zone, s.zone), func() { s.submit(r) })
}

// handleRefusal handles a refused or returned request: it is retried on another server or lost.
func (e *entry) handleRefusal(s *server, r *request, a sched.Action) {
	now := e.sim.clock.now
	e.table.RecordEnd(now, s.id, noIncarnation, route.Outcome{Result: route.Refused})
	if a.Reason == sched.DeadlineUnreachable || a.Started {
		e.sim.recordLost(r)
		return
	}
	r.exclude = append(r.exclude, s.id)
	d := retry.DefaultConfig.Next(now, retry.Attempt{
		Refused: true, Verdict: verdict.NotRun, Repeatable: r.class.repeatable, Dispatches: r.dispatches,
		MaxAttempts: 1, Deadline: r.deadline,
	}, e.budget, e.sim.rand.Float64())
	if !d.Again {
		e.sim.recordLost(r)
		return
	}
	e.dispatch(r)
}

func (e *entry) handleFirstToken(*server, *request) {}

func (e *entry) handleEnd(s *server, r *request, complete bool) {
	result := route.OK
	if !complete {
		result = route.Refused // a missed deadline must not count as a failure of the backend server
	}
	e.table.RecordEnd(e.sim.clock.now, s.id, noIncarnation, route.Outcome{Result: result, FirstToken: r.first.Sub(r.started)})
	if complete {
		e.budget.OnSuccess()
		e.sim.recordCompleted(r)
		return
	}
	e.sim.recordLost(r)
}

func zoneName(zone int) string { return fmt.Sprintf("zone%d", zone) }
