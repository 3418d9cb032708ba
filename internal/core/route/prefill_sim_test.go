package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// prefillSim is a load on servers that prefill one prompt after the other: they have free slots all the time, but a request waits for the
// prompts before it. Sessions are asked for unevenly, and several gateways that share no memory choose the servers.
type prefillSim struct {
	servers  int
	gateways int
	sessions int
	prefill  time.Duration // of one prompt
	rate     float64       // requests per second at all gateways together
	target   time.Duration // until the first event
}

const (
	prefillSimLength = 20 * time.Second
	prefillSimRest   = 300 * time.Millisecond // from the first event to the end
	tightGap         = 200 * time.Millisecond
	looseGap         = 500 * time.Millisecond
	// patience is the multiple of the target after which callers give up.
	patience = 4
	// patienceWindow and maxGivenUp bound how many requests are given up: at most this share within any such time.
	patienceWindow = 5 * time.Second
	maxGivenUp     = 1.0 / 12
)

// prefillServer is one server of a prefillSim.
type prefillServer struct {
	freeAt time.Time // when the prompts that have arrived are prefilled
	ends   []time.Time
}

// running returns the number of requests at the server.
func (s *prefillServer) running(now time.Time) int {
	n := 0
	for _, end := range s.ends {
		if end.After(now) {
			n++
		}
	}
	return n
}

// simEvent is the first data or the end of an answer on its way to a gateway.
type simEvent struct {
	at      time.Time
	server  string
	sentAt  time.Time
	running int  // as the server reports it
	first   bool // the first data; otherwise the end
}

// run returns the largest share, in any second but the first, of the requests within patienceWindow whose first event comes later than
// patience times the target.
func (l prefillSim) run(seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 7))
	servers := make(map[string]*prefillServer)
	for i := range l.servers {
		servers[fmt.Sprint("s", i)] = &prefillServer{}
	}
	type gw struct {
		table  *Table
		router *Router
		events []simEvent
	}
	gateways := make([]*gw, l.gateways)
	for i := range gateways {
		table := NewTable(Config{})
		for id := range servers {
			table.Upsert(epoch, Backend{ID: id, Incarnation: "1", Kind: KindService, Model: "app", Lifecycle: LifecycleReady, Slots: 64})
		}
		table.SetLanePlan(KindService, "app", &LanePlan{Lanes: []LanePart{{Gap: tightGap, Share: 0.5}, {Gap: looseGap, Share: 0.5}}})
		gateways[i] = &gw{table: table, router: NewRouter(table, RouterConfig{Policy: PolicySessionLanes})}
	}
	var asked, late [int(prefillSimLength / time.Second)]int // by second
	const step = 5 * time.Millisecond
	for now := epoch; now.Before(epoch.Add(prefillSimLength)); now = now.Add(step) {
		for _, g := range gateways {
			rest := g.events[:0]
			for _, e := range g.events {
				switch {
				case e.at.After(now):
					rest = append(rest, e)
				case e.first:
					g.table.RecordFirstData(now, e.server, e.sentAt)
					g.table.RecordLoad(now, e.server, Load{Slots: 64, Running: e.running})
				default:
					g.table.RecordEnd(now, e.server, "1", Outcome{Result: OK, FirstToken: time.Millisecond})
					g.table.EndWait(e.server, e.sentAt)
				}
			}
			g.events = rest
		}
		for range poisson(random, l.rate*step.Seconds()) {
			g := gateways[random.IntN(len(gateways))]
			session := uint64(1 + min(random.IntN(l.sessions), random.IntN(l.sessions)))
			server, err := g.router.Choose(now, Request{Kind: KindService, Model: "app", Session: session, FirstTokenTarget: l.target, GapTarget: tightGap}, random.Uint64())
			if err != nil {
				continue
			}
			second := int(now.Sub(epoch) / time.Second)
			asked[second]++
			s := servers[server.ID]
			if s.freeAt.Before(now) {
				s.freeAt = now
			}
			s.freeAt = s.freeAt.Add(l.prefill)
			first, end := s.freeAt, s.freeAt.Add(prefillSimRest)
			s.ends = append(s.ends, end)
			if first.Sub(now) > patience*l.target {
				late[second]++
			}
			g.table.RecordDispatch(now, server.ID, 0, nil)
			g.table.BeginWait(now, server.ID, constantActivity(now))
			g.events = append(g.events, simEvent{first, server.ID, now, s.running(now), true}, simEvent{end, server.ID, now, 0, false})
		}
	}
	worst := 0.0
	for from := 1; from+int(patienceWindow/time.Second) <= len(asked); from++ {
		to := from + int(patienceWindow/time.Second)
		worst = max(worst, float64(sum(late[from:to]))/float64(sum(asked[from:to])))
	}
	return worst
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// constantActivity is an Activity whose server sends data all the time, as for other requests.
type constantActivity time.Time

func (a constantActivity) LastAt() time.Time { return time.Time(a).Add(time.Hour) }

// checkGivenUp plays a load with several seeds and checks how many requests are given up.
func (l prefillSim) checkGivenUp(t *testing.T) {
	t.Helper()
	for seed := range uint64(5) {
		if share := l.run(seed); share > maxGivenUp {
			t.Errorf("seed %d: %.3f of the requests of some %v are given up, want at most %.3f", seed, share, patienceWindow, maxGivenUp)
		}
	}
}

// TestTightStreamsLeaveHomesThatAreHeldUp guards against streams of a tight lane that wait at the home of their session until their callers
// give up, while other servers have no prompt to prefill: uneven sessions on servers that are bound by prefilling.
func TestTightStreamsLeaveHomesThatAreHeldUp(t *testing.T) {
	for _, sessions := range []int{12, 6} {
		t.Run(fmt.Sprintf("%d sessions", sessions), func(t *testing.T) {
			prefillSim{
				servers: 8, gateways: 8, sessions: sessions, prefill: 150 * time.Millisecond, rate: 20, target: 600 * time.Millisecond,
			}.checkGivenUp(t)
		})
	}
}

// TestTightStreamsLeaveHeldUpHomesWithManyGateways is the same at 31 gateways, of which each has few requests at a server by which it could
// tell that the server is held up.
func TestTightStreamsLeaveHeldUpHomesWithManyGateways(t *testing.T) {
	prefillSim{
		servers: 16, gateways: 31, sessions: 20, prefill: 100 * time.Millisecond, rate: 55, target: 400 * time.Millisecond,
	}.checkGivenUp(t)
}
