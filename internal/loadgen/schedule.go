package loadgen

import (
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// request is one request before it is sent.
type request struct {
	n            int
	at           time.Duration // intended time after the start
	entry        int
	organisation int
	class        int
	promptTokens int
	prefix       int // of the organisation; -1: none
	outputTokens int
	leaveAfter   time.Duration // 0: the caller stays
	order        bool
	keyed        bool
}

// schedule yields the requests of a scenario in the order of their times.
func schedule(s Scenario) iter.Seq[request] {
	return func(yield func(request) bool) {
		rng := rand.New(rand.NewPCG(s.Seed, 0))
		classes := cumulative(len(s.Classes), func(i int) float64 { return s.Classes[i].Share })
		organisations := cumulative(len(s.Organisations), s.organisationWeight)
		end := seconds(s.DurationS)
		at := time.Duration(0)
		for n := 0; ; n++ {
			at = s.Arrivals.next(rng, at, end)
			if at >= end {
				return
			}
			if !yield(s.draw(rng, n, at, classes, organisations)) {
				return
			}
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// organisationWeight returns the stated weight of an organisation, or that of its rank.
func (s Scenario) organisationWeight(i int) float64 {
	if w := s.Organisations[i].Weight; w > 0 {
		return w
	}
	return 1 / math.Pow(float64(i+1), s.Skew)
}

// cumulative returns the running sums of n weights.
func cumulative(n int, weight func(int) float64) []float64 {
	sums := make([]float64, n)
	sum := 0.0
	for i := range sums {
		sum += weight(i)
		sums[i] = sum
	}
	return sums
}

// pick draws an index by running sums of weights.
func pick(rng *rand.Rand, sums []float64) int {
	x := rng.Float64() * sums[len(sums)-1]
	return min(sort.SearchFloat64s(sums, x), len(sums)-1)
}

func (s Scenario) draw(rng *rand.Rand, n int, at time.Duration, classes, organisations []float64) request {
	r := request{n: n, at: at, entry: n % len(s.Entries), prefix: -1}
	r.class = pick(rng, classes)
	r.organisation = pick(rng, organisations)
	class := s.Classes[r.class]
	r.promptTokens = s.Prompts.Tokens.draw(rng)
	r.outputTokens = class.Output.draw(rng)
	if s.Prompts.Prefixes > 0 && rng.Float64() < s.Prompts.SharedShare {
		r.prefix = rng.IntN(s.Prompts.Prefixes)
	}
	if class.LeaveAfterMS > 0 && rng.Float64() < class.LeaveShare {
		r.leaveAfter = milliseconds(class.LeaveAfterMS * rng.ExpFloat64())
	}
	if s.Orders != nil && rng.Float64() < s.Orders.Share {
		r.order = true
		r.keyed = rng.Float64() < s.Orders.KeyedShare
		r.leaveAfter = 0
	}
	return r
}

// draw returns a number of tokens, at least 1.
func (l Lengths) draw(rng *rand.Rand) int {
	n := 0
	switch l.Kind {
	case LengthsUniform:
		n = l.Min + rng.IntN(l.Max-l.Min+1)
	case LengthsLognormal:
		n = int(math.Round(l.Mean * math.Exp(l.Sigma*rng.NormFloat64())))
	default:
		n = int(l.Mean)
	}
	if l.Max > 0 {
		n = min(n, l.Max)
	}
	return max(n, l.Min, 1)
}

// rate returns the rate at a time after the start, per second.
func (a Arrivals) rate(at time.Duration) float64 {
	switch a.Kind {
	case ArrivalsBurst:
		if at >= seconds(a.Burst.AtS) && at < seconds(a.Burst.AtS+a.Burst.ForS) {
			return a.Burst.RatePerSecond
		}
	case ArrivalsCurve:
		return a.interpolate(at.Seconds())
	}
	return a.RatePerSecond
}

func (a Arrivals) interpolate(at float64) float64 {
	i := sort.Search(len(a.Curve), func(i int) bool { return a.Curve[i].AtS >= at })
	switch i {
	case 0:
		return a.Curve[0].RatePerSecond
	case len(a.Curve):
		return a.Curve[i-1].RatePerSecond
	}
	p, q := a.Curve[i-1], a.Curve[i]
	return p.RatePerSecond + (q.RatePerSecond-p.RatePerSecond)*(at-p.AtS)/(q.AtS-p.AtS)
}

// peak returns the highest rate.
func (a Arrivals) peak() float64 {
	highest := a.RatePerSecond
	switch a.Kind {
	case ArrivalsBurst:
		highest = max(highest, a.Burst.RatePerSecond)
	case ArrivalsCurve:
		highest = 0
		for _, p := range a.Curve {
			highest = max(highest, p.RatePerSecond)
		}
	}
	return highest
}

// next returns the time of the arrival after at, at most end. Arrivals of a changing rate are thinned out from
// arrivals of the highest one.
func (a Arrivals) next(rng *rand.Rand, at, end time.Duration) time.Duration {
	if a.Kind == ArrivalsConstant {
		return at + seconds(1/a.RatePerSecond)
	}
	peak := a.peak()
	for at < end && peak > 0 {
		at += seconds(rng.ExpFloat64() / peak)
		if rng.Float64()*peak < a.rate(at) {
			return at
		}
	}
	return end
}

// prompt writes the prompt of a request: the shared prefix of its organisation, then text that no other request has.
func (s Scenario) prompt(r request) string {
	var b strings.Builder
	if r.prefix >= 0 {
		rng := rand.New(rand.NewPCG(s.Seed, uint64(r.organisation)<<32|uint64(r.prefix)|1<<63))
		writeWords(&b, rng, s.Prompts.PrefixTokens)
	}
	fmt.Fprintf(&b, "request %d-%d ", s.Seed, r.n)
	writeWords(&b, rand.New(rand.NewPCG(s.Seed, uint64(r.n)+1)), r.promptTokens)
	return b.String()
}

func writeWords(b *strings.Builder, rng *rand.Rand, n int) {
	for range n {
		fmt.Fprintf(b, "w%d ", rng.IntN(10000))
	}
}
