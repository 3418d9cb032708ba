package policybench

import (
	"sort"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/sched"
)

const (
	// stepBase and stepPerBatch give the duration of an engine step, which computes one token for every request of the batch:
	// stepBase plus stepPerBatch for each request.
	stepBase     = 12 * time.Millisecond
	stepPerBatch = 600 * time.Microsecond
	// prefillToken is the time that each prompt token adds to a step. A step computes at most prefillChunk prompt tokens.
	prefillToken = 50 * time.Microsecond
	prefillChunk = 512
	// referenceBatch is the batch size for which the capacity is computed.
	referenceBatch = 40
)

// job is a request that runs on a backend server.
type job struct {
	req       *request
	prefill   int  // prompt tokens still to compute
	preempted bool // to be removed after the current step
}

// server is a simulated backend server with its agent.
type server struct {
	sim      *simulation
	id       string
	zone     int
	service  bool
	slowdown float64 // factor on all durations
	sched    *sched.Scheduler

	jobs     []*job // in the engine, by start
	byID     map[string]*job
	requests map[string]*request // waiting and running requests of the agent, by attempt ID
	stepping bool                // a step is scheduled
	reports  uint64              // number of load reports
}

func newServer(sim *simulation, id string, zone int, service bool) *server {
	cfg := sched.Config{Policy: sim.policies.Sched, Slots: startSlots, MaxSlots: maxSlots, QueueLimit: queueLimit}
	if service {
		cfg.Slots, cfg.MaxSlots = serviceSlots, serviceSlots
	}
	s := &server{
		sim: sim, id: id, zone: zone, service: service, slowdown: 1, sched: sched.New(cfg),
		byID: make(map[string]*job), requests: make(map[string]*request),
	}
	sim.clock.after(tickInterval, s.tick)
	sim.clock.after(reportInterval, s.report)
	return s
}

func (s *server) backend() route.Backend {
	kind, model := route.KindEngine, engineModel
	if s.service {
		kind, model = route.KindService, serviceModel
	}
	return route.Backend{
		ID: s.id, Kind: kind, Model: model, Zone: zoneName(s.zone), Lifecycle: route.LifecycleReady, Slots: startSlots,
	}
}

func (s *server) tick() {
	s.apply(s.sched.Tick(s.sim.clock.now))
	s.sim.clock.after(tickInterval, s.tick)
}

// report sends the load to every entry. Reports are delayed, and some are lost.
func (s *server) report() {
	load := s.load()
	for _, e := range s.sim.entries {
		if s.sim.rand.Float64() < reportLoss {
			continue
		}
		s.sim.clock.after(reportLag, func() { e.table.RecordLoad(s.sim.clock.now, s.id, load) })
	}
	s.sim.clock.after(reportInterval, s.report)
}

// submit handles a request from an entry.
func (s *server) submit(r *request) {
	s.requests[r.attemptID] = r
	c := r.class
	s.apply(s.sched.Submit(s.sim.clock.now, sched.Request{
		ID: r.attemptID, Organisation: r.organisation, Class: c.name, Tier: c.tier,
		Deadline: r.deadline, FirstTokenTarget: r.due.Sub(s.sim.clock.now), BetweenTokenTarget: c.betweenTokens,
		PromptTokens: r.prompt, Repeatable: c.repeatable, Preemptible: c.preemptible, Resumable: c.resumable,
	}))
}

func (s *server) apply(actions []sched.Action) {
	for _, a := range actions {
		r := s.requests[a.ID]
		switch a.Kind {
		case sched.Start:
			s.start(r)
		case sched.Preempt:
			s.byID[a.ID].preempted = true
			s.sim.report.Preemptions++
		case sched.Return, sched.Refuse:
			delete(s.requests, a.ID)
			s.sim.reply(s, r, func() { r.entry.handleRefusal(s, r, a) })
		}
	}
}

func (s *server) start(r *request) {
	s.sim.recordStart(r)
	if !r.class.resumable {
		r.tokens = 0
	}
	if r.firstStart.IsZero() {
		r.firstStart = s.sim.clock.now
	}
	if r.first.IsZero() {
		r.started = s.sim.clock.now
	}
	j := &job{req: r, prefill: r.prompt}
	if r.tokens > 0 {
		j.prefill = 0 // resumes with its cache
	}
	s.jobs = append(s.jobs, j)
	s.byID[r.attemptID] = j
	if s.service {
		took := time.Duration(float64(r.output) * s.slowdown * float64(time.Millisecond))
		s.sim.clock.after(took, func() { s.completeService(j) })
		return
	}
	if !s.stepping {
		s.stepping = true
		s.sim.clock.after(0, s.step)
	}
}

// step runs an engine step, which computes the next token of every request in the batch.
func (s *server) step() {
	s.removePreempted()
	if len(s.jobs) == 0 {
		s.stepping = false
		return
	}
	took := stepBase + time.Duration(len(s.jobs))*stepPerBatch
	chunk := prefillChunk
	for _, j := range s.prefillJobs() {
		n := min(j.prefill, chunk)
		j.prefill -= n
		chunk -= n
		j.req.computed += n
		s.sim.report.Computed += n
		took += time.Duration(n) * prefillToken
	}
	var ready []*job
	for _, j := range s.jobs {
		if j.prefill == 0 {
			ready = append(ready, j)
		}
	}
	s.sim.clock.after(time.Duration(float64(took)*s.slowdown), func() {
		for _, j := range ready {
			s.recordToken(j)
		}
		s.step()
	})
}

// prefillJobs returns the jobs with prompt tokens to compute, in the engine's order of priority: by tier with the tiered policy,
// by start with the baselines.
func (s *server) prefillJobs() []*job {
	var jobs []*job
	for _, j := range s.jobs {
		if j.prefill > 0 {
			jobs = append(jobs, j)
		}
	}
	if s.sim.policies.Sched == sched.PolicyTiered {
		sort.SliceStable(jobs, func(i, k int) bool { return jobs[i].req.class.tier < jobs[k].req.class.tier })
	}
	return jobs
}

// recordToken records one output token of a job.
func (s *server) recordToken(j *job) {
	r := j.req
	if j.preempted || s.byID[r.attemptID] != j {
		return
	}
	now := s.sim.clock.now
	r.tokens++
	r.computed++
	s.sim.report.Computed++
	if r.first.IsZero() {
		r.first = now
		s.sim.reply(s, r, func() { r.entry.handleFirstToken(s, r) })
	}
	r.last = now
	s.apply(s.sched.Progress(now, r.attemptID, 1))
	switch {
	case r.tokens >= r.output:
		s.finish(j, true)
	case now.After(r.deadline):
		s.finish(j, false)
	}
}

// completeService completes a job of a service, whose answer is sent at once, not streamed.
func (s *server) completeService(j *job) {
	r := j.req
	if s.byID[r.attemptID] != j {
		return
	}
	if j.preempted {
		s.requeue(j)
		return
	}
	r.first, r.last = s.sim.clock.now, s.sim.clock.now
	r.tokens, r.computed = 1, r.computed+1
	s.sim.reply(s, r, func() { r.entry.handleFirstToken(s, r) })
	s.finish(j, !r.last.After(r.deadline))
}

// finish removes a job from the engine and notifies the entry.
func (s *server) finish(j *job, complete bool) {
	r := j.req
	s.remove(j)
	delete(s.requests, r.attemptID)
	s.apply(s.sched.Finish(s.sim.clock.now, r.attemptID))
	s.sim.reply(s, r, func() { r.entry.handleEnd(s, r, complete) })
}

func (s *server) remove(j *job) {
	delete(s.byID, j.req.attemptID)
	for i := range s.jobs {
		if s.jobs[i] == j {
			s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
			return
		}
	}
}

// removePreempted requeues the preempted jobs at the end of a step.
func (s *server) removePreempted() {
	for _, j := range append([]*job(nil), s.jobs...) {
		if j.preempted && s.byID[j.req.attemptID] == j {
			s.requeue(j)
		}
	}
}

func (s *server) requeue(j *job) {
	s.remove(j)
	if !j.req.class.resumable {
		s.sim.report.Wasted += j.req.computed
		j.req.computed = 0
	}
	s.apply(s.sched.Requeue(s.sim.clock.now, j.req.attemptID))
}

// load returns the current load report.
func (s *server) load() route.Load {
	s.reports++
	load := routeLoad(s.sched.Load(s.sim.clock.now))
	load.Seq = s.reports
	return load
}

// routeLoad converts a scheduler's load to a load report for the router.
func routeLoad(l sched.Load) route.Load {
	out := route.Load{
		Slots: l.Slots, Running: l.Running, Waiting: l.Waiting, QueueLimit: l.QueueLimit,
		HasDisplaceable: l.HasDisplaceable, LowestTier: l.LowestTier, TokenInterval: l.TokenInterval, FirstToken: l.FirstToken,
	}
	for tier, n := range l.WaitingByTier {
		out.WaitingByTier[min(tier, route.MaxTiers-1)] += n
	}
	for tier, n := range l.RunningByTier {
		out.RunningByTier[min(tier, route.MaxTiers-1)] += n
	}
	return out
}
