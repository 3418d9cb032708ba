package sched

import (
	"math"
	"time"

	"github.com/guavastack/guavastack/internal/core/decay"
)

const (
	// averageWeight is the weight of a new observation in a moving average.
	averageWeight = 0.1
	// burstHalfLife is the half-life of the count of blocked arrivals.
	burstHalfLife = 10 * time.Second
	// batchWindow is the number of tokens per slot between two changes of the batch size. In shorter windows the prefill of a
	// single long prompt dominates, and the batch size would drop with each of them.
	batchWindow = 8
	// batchMargin is the fraction of the between-token target that the batch size aims at. Step times vary with the prompts
	// that are computed in the same step, and in short answers a single slow step counts.
	batchMargin = 0.61
	// batchDamping is the fraction of the difference from the wanted batch size that one change applies. An oscillating batch
	// size would delay the highest tiers whenever it falls.
	batchDamping = 0.25
)

// average is an exponential moving average; its zero value has no observations.
type average struct {
	value float64
	known bool
}

func (a *average) observe(x float64) {
	if !a.known {
		a.value, a.known = x, true
		return
	}
	a.value += averageWeight * (x - a.value)
}

// linearFit is a linear regression over observations with exponentially decreasing weights.
type linearFit struct {
	x, y, xx, xy average
}

func (l *linearFit) observe(x, y float64) {
	l.x.observe(x)
	l.y.observe(y)
	l.xx.observe(x * x)
	l.xy.observe(x * y)
}

// at returns the value predicted for x. Slope and intercept are constrained to be non-negative.
func (l *linearFit) at(x float64) float64 {
	slope := 0.0
	if variance := l.xx.value - l.x.value*l.x.value; variance > 0 {
		slope = math.Max(0, (l.xy.value-l.x.value*l.y.value)/variance)
	}
	if l.x.value > 0 {
		slope = math.Min(slope, l.y.value/l.x.value)
	}
	return l.y.value + slope*(x-l.x.value)
}

// decayingCount is a count that decays with burstHalfLife.
type decayingCount struct {
	value float64
	at    time.Time
}

func (d *decayingCount) read(now time.Time) float64 {
	if d.value == 0 || !now.After(d.at) {
		return d.value
	}
	return d.value * decay.Weight(now.Sub(d.at), burstHalfLife)
}

func (d *decayingCount) add(now time.Time, x float64) {
	d.value = d.read(now) + x
	d.at = now
}

// estimates holds the performance figures of the backend server, learned from its progress.
type estimates struct {
	prefill  linearFit // seconds to the first token, by uncached prompt tokens
	interval average   // seconds between two tokens of a request
	service  average   // seconds from start to finish

	// The following fields cover the time since the last change of the batch size.
	observations int
	intervalSum  float64 // of the observed intervals, in seconds
	maxBatch     int     // largest observed number of running requests
}

// uncachedTokens returns the number of prompt tokens that the engine has to compute.
func uncachedTokens(r *Request) float64 { return float64(max(0, r.PromptTokens-r.CachedTokens)) }

// firstToken returns the expected time from the start of a request to its first token.
func (e *estimates) firstToken(r *Request) time.Duration {
	return seconds(e.prefill.at(uncachedTokens(r)))
}

// observeFirstToken records the time from the start of a request to its first token.
func (e *estimates) observeFirstToken(r *Request, took time.Duration) {
	e.prefill.observe(uncachedTokens(r), took.Seconds())
}

// observeTokens records the time that a request took for tokens after the first.
func (e *estimates) observeTokens(tokens, batch int, took time.Duration) {
	interval := took.Seconds() / float64(tokens)
	e.interval.observe(interval)
	e.observations++
	e.intervalSum += interval
	e.maxBatch = max(e.maxBatch, batch)
}

// observeFinish records the service time of a finished request.
func (e *estimates) observeFinish(it *item, now time.Time) {
	e.service.observe(now.Sub(it.started).Seconds())
}

// isWindowFull reports whether there are enough observations since the last change of the batch size.
func (e *estimates) isWindowFull(slots int) bool { return e.observations >= batchWindow*slots }

// batchSize returns the batch size that keeps the time between tokens within target, judged by the observations of the last
// window, and starts a new window. Without a target the batch size grows by one per window.
func (e *estimates) batchSize(slots, maxSlots int, target time.Duration) int {
	if !e.isWindowFull(slots) {
		return slots
	}
	mean := e.intervalSum / float64(e.observations)
	batch := e.maxBatch
	e.observations, e.intervalSum, e.maxBatch = 0, 0, 0
	if target <= 0 || mean <= 0 {
		return min(slots+1, maxSlots)
	}
	// The time between tokens grows at most linearly with the batch size.
	wanted := float64(batch) * target.Seconds() * batchMargin / mean
	change := wanted - float64(slots)
	switch {
	case change >= 1 && batch < slots:
		return slots // the current size was never reached, so it is no evidence for a larger one
	case change >= 1:
		return min(slots+int(math.Ceil(change*batchDamping)), maxSlots)
	case change <= -1:
		return max(1, slots+int(math.Floor(change*batchDamping)))
	default:
		return slots
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
