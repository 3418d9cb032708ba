package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/guavastack/guavastack/internal/core/decay"
)

const (
	// laneHalfLife is the half-life of observed work.
	laneHalfLife = 3 * time.Second
	// laneMemory is how long a gap target is remembered after its last stream.
	laneMemory = time.Minute
	// delayWeight is the weight of a new delay in the moving average of its gap target.
	delayWeight = 0.05
	// maxDelay bounds a delay, as a multiple of the request's target.
	maxDelay = 3
	// prefillPerOutput is the number of tokens that a server prefills in the time in which a stream generates one.
	prefillPerOutput = 200
)

// Lanes observes the streams of one service by their target for the gap between tokens. The lanes of the service are split by
// these observations, from this process or from all of them. It is not safe for concurrent use.
type Lanes struct {
	byGap map[time.Duration]*gapObservation
}

// gapObservation is the recent work and delay of the streams with one gap target.
type gapObservation struct {
	prefill float64   // prompt tokens; decays with laneHalfLife
	output  float64   // work of the tokens to generate; decays with laneHalfLife
	at      time.Time // of the last update of prefill and output
	delay   float64   // moving average, as a multiple of the target; 0: none yet
}

// StreamWork is the work of the streams with one gap target.
type StreamWork struct {
	Gap     time.Duration // target for the gap between tokens
	Prefill float64       // prompt tokens to prefill per second
	Output  float64       // work of the tokens to generate per second, as a number of tokens to prefill
	Delay   float64       // mean delay of a stream, as a multiple of its target; 0: none yet
}

// total returns the work as a number of prompt tokens per second.
func (w StreamWork) total() float64 { return w.Prefill + w.Output }

// ServiceWork is the work of the streams of one service, by ascending gap target.
type ServiceWork struct {
	Service string
	Streams []StreamWork
}

// NewLanes returns lanes without observations.
func NewLanes() *Lanes { return &Lanes{byGap: make(map[time.Duration]*gapObservation)} }

// OutputWork returns the work of generating tokens as a number of tokens to prefill. A stream occupies one of a server's slots while it
// generates them.
func OutputWork(tokens, slots int) float64 {
	return float64(tokens) * prefillPerOutput / float64(max(slots, 1))
}

// Observe records a stream with a gap target, the number of prompt tokens that a server has to prefill, and the work of the tokens to
// generate. Streams without a gap target are not recorded.
func (l *Lanes) Observe(now time.Time, gap time.Duration, promptTokens int, outputWork float64) {
	if gap <= 0 {
		return
	}
	o := l.byGap[gap]
	if o == nil {
		o = &gapObservation{at: now}
		l.byGap[gap] = o
	}
	decay := o.decay(now)
	o.prefill = o.prefill*decay + float64(promptTokens)
	o.output = o.output*decay + outputWork
	o.at = now
}

// RecordDelay records how long a stream with a gap target waited for something, such as the start of its answer, relative to the
// target for that.
func (l *Lanes) RecordDelay(gap, took, target time.Duration) {
	o := l.byGap[gap]
	if o == nil || target <= 0 {
		return
	}
	delay := min(float64(took)/float64(target), maxDelay)
	if o.delay == 0 {
		o.delay = delay
		return
	}
	o.delay += delayWeight * (delay - o.delay)
}

// decay returns the share of the observed tokens that still counts at now.
func (o *gapObservation) decay(now time.Time) float64 {
	return decay.Weight(now.Sub(o.at), laneHalfLife)
}

// Work returns the recent work, by ascending gap target. Gap targets without recent work are forgotten.
func (l *Lanes) Work(now time.Time) []StreamWork {
	out := make([]StreamWork, 0, len(l.byGap))
	for gap, o := range l.byGap {
		if now.Sub(o.at) > laneMemory {
			delete(l.byGap, gap)
			continue
		}
		perSecond := o.decay(now) * math.Ln2 / laneHalfLife.Seconds()
		out = append(out, StreamWork{Gap: gap, Prefill: o.prefill * perSecond, Output: o.output * perSecond, Delay: o.delay})
	}
	sortByGap(out)
	return out
}

// AddStreamWork returns the sum of the work of several processes, by ascending gap target. Delays are averaged.
func AddStreamWork(a, b []StreamWork) []StreamWork {
	sum := slices.Clone(a)
	for _, w := range b {
		i := slices.IndexFunc(sum, func(have StreamWork) bool { return have.Gap == w.Gap })
		if i < 0 {
			sum = append(sum, w)
			continue
		}
		sum[i].Delay = meanDelay(sum[i], w)
		sum[i].Prefill += w.Prefill
		sum[i].Output += w.Output
	}
	sortByGap(sum)
	return sum
}

// meanDelay returns the mean of two delays, weighted by tokens to prefill. A side without a delay does not count.
func meanDelay(a, b StreamWork) float64 {
	switch {
	case a.Delay == 0:
		return b.Delay
	case b.Delay == 0 || a.Prefill+b.Prefill == 0:
		return a.Delay
	default:
		return (a.Delay*a.Prefill + b.Delay*b.Prefill) / (a.Prefill + b.Prefill)
	}
}

func sortByGap(work []StreamWork) {
	slices.SortFunc(work, func(a, b StreamWork) int { return cmp.Compare(a.Gap, b.Gap) })
}
