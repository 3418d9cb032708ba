package fairqueue

import (
	"fmt"
	"testing"
	"time"
)

const (
	simBig   = "big"
	simSeeds = 2
)

// oneBig returns the loads of seven organisations, of which one has two fifths of the usual traffic and sends a multiple of that in the
// burst.
func oneBig(usual, burst float64) []simLoad {
	loads := []simLoad{{organisation: simBig, perSecond: usual * 0.4, burst: burst}}
	for i := range 6 {
		loads = append(loads, simLoad{organisation: fmt.Sprint("small-", i), perSecond: usual * 0.1})
	}
	return loads
}

// first and second are the sizes of the two deployments. The traffic is such that the twelvefold burst exceeds the capacity by half.
func first(loads []simLoad) simConfig {
	return simConfig{
		fair: true, gateways: 16, servers: 4, queue: 6, work: 60 * time.Millisecond, target: 300 * time.Millisecond, deadline: 3 * time.Second,
		loads: loads,
	}
}

func second(loads []simLoad) simConfig {
	return simConfig{
		fair: true, gateways: 24, servers: 4, queue: 6, work: 15 * time.Millisecond, target: 120 * time.Millisecond, deadline: time.Second,
		loads: loads,
	}
}

// eachSeed runs the scenario with each seed.
func eachSeed(t *testing.T, c simConfig, check func(*testing.T, *simulation)) {
	t.Helper()
	for seed := range uint64(simSeeds) {
		c.seed = seed
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { check(t, c.run()) })
	}
}

// checkAlways checks what holds in every scenario: no refusal although a slot was free for long, and no request held until its target
// has passed.
func checkAlways(t *testing.T, s *simulation) {
	t.Helper()
	if s.wrongRefusals > 0 {
		t.Errorf("%d refusals although a slot had been free for %v", s.wrongRefusals, simFreeTime)
	}
	if s.longestHold > s.target {
		t.Errorf("a request was held for %v, target %v", s.longestHold, s.target)
	}
}

// Guards against the loss of other organisations' requests while one sends twelve times its usual traffic.
func TestOneOrganisationAtTwelveTimesItsUsual(t *testing.T) {
	cases := []struct {
		name string
		simConfig
	}{
		{"first deployment", first(oneBig(110, 12))},
		{"second deployment", second(oneBig(440, 12))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			eachSeed(t, c.simConfig, func(t *testing.T, s *simulation) {
				checkAlways(t, s)
				today := c.simConfig
				today.fair, today.seed = false, s.seed
				before := today.run()
				others, othersBefore := s.totals(simBurstFrom, simBurstTo, isOther), before.totals(simBurstFrom, simBurstTo, isOther)
				t.Logf("others before: %v; after: %v", othersBefore, others)
				t.Logf("big before: %v; after: %v", before.totals(simBurstFrom, simBurstTo, isBig), s.totals(simBurstFrom, simBurstTo, isBig))
				t.Logf("utilisation before %.3f, after %.3f; rejections before %d, after %d", before.utilisation(), s.utilisation(), before.rejections, s.rejections)
				if share := othersBefore.share(othersBefore.onTime); share > 0.6 {
					t.Errorf("before, %.3f of the others' calls are on time: the scenario is too easy", share)
				}
				if share := others.share(others.onTime); share < 0.98 {
					t.Errorf("%.3f of the others' calls are on time, want 0.98 as in calm seconds", share)
				}
				if s.utilisation() < 0.97 {
					t.Errorf("utilisation %.3f", s.utilisation())
				}
				if s.rejections > before.rejections/4 {
					t.Errorf("%d rejections, %d before: the servers' queues are not kept short", s.rejections, before.rejections)
				}
			})
		})
	}
}

// Guards against a queue that is in the way while the capacity suffices: at ninety per cent of it, about as many calls are on time as
// without the queue.
func TestSufficientCapacity(t *testing.T) {
	c := first(oneBig(300, 1.5))
	eachSeed(t, c, func(t *testing.T, s *simulation) {
		checkAlways(t, s)
		c.fair, c.seed = false, s.seed
		all := func(*simLoad) bool { return true }
		before, after := c.run().totals(0, simLength, all), s.totals(0, simLength, all)
		t.Logf("before: %v; after: %v", before, after)
		if after.share(after.onTime) < before.share(before.onTime)-0.02 {
			t.Error("more than 0.02 fewer calls are on time")
		}
	})
}

// Guards against lower ranks that delay higher ones, and against ranks that get nothing.
func TestRanksUnderContention(t *testing.T) {
	c := first([]simLoad{
		{organisation: "a", rank: 0, perSecond: 20, burst: 5},
		{organisation: "b", rank: 1, perSecond: 20, burst: 20},
		{organisation: "c", rank: 2, perSecond: 20, burst: 20},
	})
	eachSeed(t, c, func(t *testing.T, s *simulation) {
		checkAlways(t, s)
		var totals [3]simTotals
		for rank := range totals {
			totals[rank] = s.totals(simBurstFrom+simSettling, simBurstTo, func(l *simLoad) bool { return l.rank == rank })
			t.Logf("rank %d: %v", rank, totals[rank])
		}
		if share := totals[0].share(totals[0].onTime); share < 0.97 {
			t.Errorf("%.3f of the highest rank on time", share)
		}
		if totals[1].share(totals[1].onTime) < 2*totals[2].share(totals[2].onTime) {
			t.Error("the middle rank is not ahead of the lowest")
		}
		if totals[2].onTime+totals[2].late < totals[2].calls/50 {
			t.Error("the lowest rank starves")
		}
	})
}

// Guards against a loss of capacity that the other organisations pay for.
func TestServerLostHalfway(t *testing.T) {
	c := first(oneBig(110, 7))
	c.loses = true
	eachSeed(t, c, func(t *testing.T, s *simulation) {
		checkAlways(t, s)
		half := (simBurstFrom + simBurstTo) / 2
		others, big := s.totals(half+simSettling, simBurstTo, isOther), s.totals(half+simSettling, simBurstTo, isBig)
		t.Logf("others: %v; big: %v", others, big)
		if share := others.share(others.onTime); share < 0.97 {
			t.Errorf("%.3f of the others' calls are on time", share)
		}
		if share := big.share(big.onTime); share < 0.5 {
			t.Errorf("%.3f of the big organisation's calls are on time although three servers are left", share)
		}
	})
}

// Guards against gateways that send without pause while all servers reject, and that stay slow afterwards.
func TestAllServersReject(t *testing.T) {
	c := first(oneBig(110, 1))
	c.rejects = true
	eachSeed(t, c, func(t *testing.T, s *simulation) {
		checkAlways(t, s)
		calls := s.totals(simBurstFrom, simBurstTo, func(*simLoad) bool { return true })
		after := s.totals(simBurstTo+time.Second, simLength, func(*simLoad) bool { return true })
		t.Logf("meanwhile: %v; a second later: %v; rejections %d", calls, after, s.rejections)
		requests := calls.refusals + calls.onTime + calls.late
		if budget := requests/5 + 2*s.simConfig.gateways; s.rejections > requests+budget {
			t.Errorf("%d rejections of %d requests and %d retries in the budget", s.rejections, requests, budget)
		}
		if after.onTime < after.calls {
			t.Error("not all calls are on time a second later")
		}
	})
}

// Guards against callers that gain by returning at once and often.
func TestRetryStorm(t *testing.T) {
	loads := oneBig(110, 9)
	loads[0].returns = 5 * time.Millisecond
	eachSeed(t, first(loads), func(t *testing.T, s *simulation) {
		checkAlways(t, s)
		others := s.totals(simBurstFrom, simBurstTo, isOther)
		t.Logf("others: %v; big: %v; rejections %d", others, s.totals(simBurstFrom, simBurstTo, isBig), s.rejections)
		if share := others.share(others.onTime); share < 0.97 {
			t.Errorf("%.3f of the others' calls are on time", share)
		}
	})
}

// Guards against limits that outlast the contention by more than a second.
func TestContentionEnds(t *testing.T) {
	c := first(oneBig(110, 12))
	eachSeed(t, c, func(t *testing.T, s *simulation) {
		after := s.totals(simBurstTo+time.Second, simLength, func(*simLoad) bool { return true })
		if after.refusals > 0 || after.onTime < after.calls {
			t.Errorf("a second after the burst: %v", after)
		}
		for i, g := range s.gateways {
			if g.queue.Status().IsContended {
				t.Errorf("gateway %d still limits its requests", i)
			}
		}
	})
}

// Guards against a gateway with few requests that waits behind the queues of the others.
func TestGatewayWithFewRequests(t *testing.T) {
	loads := oneBig(110, 12)
	loads = append(loads, simLoad{organisation: "alone", perSecond: 4, gateways: [2]int{0, 1}})
	for i := range loads[:len(loads)-1] {
		loads[i].gateways = [2]int{1, 16}
	}
	eachSeed(t, first(loads), func(t *testing.T, s *simulation) {
		alone := s.totals(simBurstFrom, simBurstTo, func(l *simLoad) bool { return l.organisation == "alone" })
		t.Logf("%v", alone)
		if alone.share(alone.onTime) < 0.95 {
			t.Errorf("the gateway with few requests: %v", alone)
		}
	})
}
