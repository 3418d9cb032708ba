package sched

import (
	"math"
	"time"
)

const (
	// averageWeight is the weight of a new observation in a moving average.
	averageWeight = 0.1
	// prefillOverheadTokens stands for the part of a first token that does not depend on the prompt.
	prefillOverheadTokens = 32
	// burstHalfLife is how fast blocked arrivals are forgotten.
	burstHalfLife = 10 * time.Second
	// batchWindow is the number of observations between two changes of the batch size.
	batchWindow = 64
	// batchMargin is the part of the between-token target that the batch size aims at.
	batchMargin = 0.9
	// batchDecrease is the factor by which the batch size falls when the target is missed.
	batchDecrease = 0.9
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

// decaying is a count that halves every burstHalfLife.
type decaying struct {
	value float64
	at    time.Time
}

func (d *decaying) read(now time.Time) float64 {
	if d.value == 0 || !now.After(d.at) {
		return d.value
	}
	return d.value * math.Exp2(-float64(now.Sub(d.at))/float64(burstHalfLife))
}

func (d *decaying) add(now time.Time, x float64) {
	d.value = d.read(now) + x
	d.at = now
}

// estimates are what the scheduler has learned of its backend server.
type estimates struct {
	prefill  average // seconds for one uncached prompt token
	interval average // seconds between two tokens of a request
	service  average // seconds from start to finish
	output   average // output tokens of an answer

	// Since the last change of the batch size.
	observations int
	sum          float64
	batch        int // largest number of running requests seen
}

func uncached(r *Request) float64 {
	return float64(max(0, r.PromptTokens-r.CachedTokens) + prefillOverheadTokens)
}

// firstToken is the expected time from the start of a request to its first token.
func (e *estimates) firstToken(r *Request) time.Duration {
	return seconds(e.prefill.value * uncached(r))
}

// observeFirstToken learns from a first token.
func (e *estimates) observeFirstToken(r *Request, took time.Duration) {
	e.prefill.observe(took.Seconds() / uncached(r))
}

// observeTokens learns from further tokens of one request.
func (e *estimates) observeTokens(tokens, batch int, took time.Duration) {
	each := took.Seconds() / float64(tokens)
	e.interval.observe(each)
	e.observations++
	e.sum += each
	e.batch = max(e.batch, batch)
}

// observeFinish learns from a finished request.
func (e *estimates) observeFinish(tokens int, took time.Duration) {
	e.service.observe(took.Seconds())
	e.output.observe(float64(tokens))
}

// batchSize returns the batch size to use after the last observations, where target bounds the time between tokens.
func (e *estimates) batchSize(slots, maxSlots int, target time.Duration) int {
	if e.observations < batchWindow {
		return slots
	}
	mean := e.sum / float64(e.observations)
	batch := e.batch
	e.observations, e.sum, e.batch = 0, 0, 0
	if target <= 0 {
		return min(slots+1, maxSlots)
	}
	goal := target.Seconds() * batchMargin
	if mean > goal {
		return max(1, min(slots-1, int(float64(slots)*batchDecrease)))
	}
	grown := mean * float64(batch+1) / float64(max(1, batch))
	if batch >= slots && grown <= goal {
		return min(slots+1, maxSlots)
	}
	return slots
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
