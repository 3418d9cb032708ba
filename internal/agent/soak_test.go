package agent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/link"
	"github.com/guavastack/guavastack/internal/link/linktest"
	"github.com/guavastack/guavastack/internal/standin/engine"
	"github.com/guavastack/guavastack/internal/standin/service"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// soakSeeds are few to keep CI runs short; add seeds for a longer search.
var soakSeeds = []uint64{1, 2, 6}

// soak sends requests of two entries to one agent under random faults of links, backend server and agent.
type soak struct {
	t          *testing.T
	rng        *rand.Rand
	links      *linktest.Network
	backendNet *linktest.Network
	cfg        Config
	agent      *Agent
	kill       func()
	pools      []*link.Pool
}

const (
	soakRequests = 150
	soakFaults   = 40
)

func newSoak(t *testing.T, seed uint64, kind BackendKind) *soak {
	s := &soak{t: t, rng: rand.New(rand.NewPCG(seed, 1)), links: linktest.New(), backendNet: linktest.New()}
	s.cfg = Config{
		ID: "agent-1", Dial: s.backendNet.Dial, KeepFor: 5 * time.Second,
		Backend: BackendConfig{Kind: kind, URL: "http://" + engineAddr, Slots: 4, Resumable: true, StallTimeout: 3 * time.Second},
	}
	for i := range 2 {
		s.pools = append(s.pools, newPool(t, fmt.Sprint("entry-", i), s.links.Dial))
	}
	return s
}

func (s *soak) startAgent() {
	s.cfg.Listener = s.links.Listen(agentAddr)
	s.agent, s.kill = runAgent(s.t, s.cfg)
}

// restart shuts the agent down gracefully and starts it again.
func (s *soak) restart() {
	if err := s.agent.Shutdown(context.Background()); err != nil {
		s.t.Error(err)
	}
	s.kill()
	s.startAgent()
}

// fault injects fault n of the links, the connections to the backend server, or the agent.
func (s *soak) fault(n int) {
	switch n {
	case 0:
		s.links.Cut()
	case 1:
		s.links.Silence(linktest.ToListener)
	case 2:
		s.links.Silence(linktest.ToDialler)
	case 3:
		s.links.Refuse(true)
		s.links.Cut()
		time.Sleep(700 * time.Millisecond) // virtual
		s.links.Refuse(false)
	case 4:
		s.backendNet.Cut()
	case 5:
		s.kill()
		s.startAgent()
	}
}

// run submits requests and injects faults at random times, and returns the outcome of each request.
func (s *soak) run(build func(i int) *linkpb.Submit, faults func(n int)) []outcome {
	s.startAgent()
	recorders := make([]*recorder, soakRequests)
	delays := make([]time.Duration, soakRequests)
	for i := range recorders {
		recorders[i] = newRecorder()
		delays[i] = time.Duration(s.rng.IntN(20_000)) * time.Millisecond
	}
	for i, r := range recorders {
		go func() {
			time.Sleep(delays[i])
			m := build(i)
			call, err := s.pools[i%2].Submit(context.Background(), agentAddr, m, r)
			if err != nil {
				r.done <- outcome{lost: err, verdict: verdict.Of(err)}
				return
			}
			r.call = call
			close(r.ready)
		}()
	}
	for range soakFaults {
		time.Sleep(time.Duration(s.rng.IntN(600)) * time.Millisecond)
		faults(s.rng.IntN(8))
	}
	outcomes := make([]outcome, soakRequests)
	for i, r := range recorders {
		select {
		case outcomes[i] = <-r.done:
		case <-time.After(5 * time.Minute):
			s.t.Errorf("request %d has no outcome after 5 min, want one", i)
		}
	}
	s.kill()
	return outcomes
}

// TestSoakService checks at-most-once execution under random faults: a body arrives at most once, and never if its
// verdict is NotRun.
func TestSoakService(t *testing.T) {
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSoak(t, seed, KindService)
				h := service.New()
				h.Inject(service.Fault{Kind: service.Slow, DelayMs: 300})
				serveInMemory(t, s.backendNet, h)
				body := func(i int) string { return fmt.Sprint("order ", i) }
				outcomes := s.run(func(i int) *linkpb.Submit {
					return serviceCall(fmt.Sprint("r", i), "POST", body(i))
				}, func(n int) {
					switch n {
					case 6:
						h.Inject(service.Fault{Kind: service.CloseAfterReading, Times: 3})
					case 7:
						h.Inject(service.Fault{Kind: service.CloseMidReply, Times: 3})
					default:
						s.fault(n)
					}
				})
				counts := make(map[verdict.Verdict]int)
				arrivals := h.Arrivals()
				for i, o := range outcomes {
					sum := sha256.Sum256([]byte(body(i)))
					n := arrivals[hex.EncodeToString(sum[:])]
					counts[o.verdict]++
					switch {
					case n > 1, n == 1 && o.verdict == verdict.NotRun, n == 0 && o.verdict == verdict.Ran:
						t.Errorf("order %d arrived %d times: %v, want at most once, 0 times with verdict not_run, once with verdict ran", i, n, o)
					}
				}
				t.Logf("%d not run, %d may have run, %d ran", counts[verdict.NotRun], counts[verdict.MayHaveRun], counts[verdict.Ran])
			})
		})
	}
}

// TestSoakEngine checks under random faults that every answer reported as complete is complete.
func TestSoakEngine(t *testing.T) {
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSoak(t, seed, KindEngine)
				h := engine.New(engine.Config{TokenInterval: 20 * time.Millisecond})
				serveInMemory(t, s.backendNet, h)
				build := func(i int) *linkpb.Submit { return chat(fmt.Sprint("r", i), fmt.Sprint(5+i%50)) }
				outcomes := s.run(build, func(n int) {
					switch n {
					case 6:
						h.Inject(engine.Fault{Kind: engine.Cut, After: 3, Times: 3})
					case 7:
						h.Inject(engine.Fault{Kind: engine.Silent, After: 3, Times: 3})
					default:
						s.fault(n)
					}
				})
				completed := 0
				for i, o := range outcomes {
					if o.end == nil || o.end.Stopped {
						continue
					}
					completed++
					if o.body != expectedBody(build(i)) {
						t.Errorf("answer %d is reported as complete but is not: %v", i, o)
					}
				}
				if completed == 0 {
					t.Error("no answer was complete, want at least one")
				}
				t.Logf("%d of %d answers complete", completed, soakRequests)
			})
		})
	}
}

// TestPlannedRestarts repeatedly restarts the agent under load: each request must end with a complete answer or the
// verdict NotRun.
func TestPlannedRestarts(t *testing.T) {
	for _, kind := range []BackendKind{KindEngine, KindService} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSoak(t, 1, kind)
				build := func(i int) *linkpb.Submit { return chat(fmt.Sprint("r", i), fmt.Sprint(5+i%50)) }
				if kind == KindService {
					build = func(i int) *linkpb.Submit { return serviceCall(fmt.Sprint("r", i), "POST", fmt.Sprint("order ", i)) }
					h := service.New()
					h.Inject(service.Fault{Kind: service.Slow, DelayMs: 300})
					serveInMemory(t, s.backendNet, h)
				} else {
					serveInMemory(t, s.backendNet, engine.New(engine.Config{TokenInterval: 20 * time.Millisecond}))
				}
				restarts := 0
				outcomes := s.run(build, func(n int) {
					if n%3 == 0 {
						s.restart()
						restarts++
					}
				})
				completed := 0
				for i, o := range outcomes {
					switch {
					case o.end != nil && !o.end.Stopped:
						completed++
					case o.verdict != verdict.NotRun:
						t.Errorf("request %d: got %v, want a complete answer or verdict not_run", i, o)
					}
				}
				if completed == 0 || restarts == 0 {
					t.Errorf("got %d complete answers and %d restarts, want some of both", completed, restarts)
				}
				t.Logf("%d restarts, %d complete, %d not run", restarts, completed, len(outcomes)-completed)
			})
		})
	}
}
