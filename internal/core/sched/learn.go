package sched

import (
	"math"
	"time"
)

const (
	// averageWeight is the weight of a new observation in a moving average.
	averageWeight = 0.1
	// burstHalfLife is how fast blocked arrivals are forgotten.
	burstHalfLife = 10 * time.Second
	// batchWindow is the number of tokens of each slot between two changes of the batch size. Shorter windows follow the
	// prefill of single prompts, and the batch size falls with each long one.
	batchWindow = 8
	// batchMargin is the part of the between-token target that the batch size aims at: the steps of an engine vary with
	// the prompts that it computes beside, and short answers follow single steps.
	batchMargin = 0.61
	// batchDamping is the part of a difference from the wanted batch size that one change makes up. A batch size that
	// swings keeps the highest tiers waiting whenever it falls.
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

// line is a straight line fitted to observations, of which recent ones count more.
type line struct {
	x, y, xx, xy average
}

func (l *line) observe(x, y float64) {
	l.x.observe(x)
	l.y.observe(y)
	l.xx.observe(x * x)
	l.xy.observe(x * y)
}

// at returns the value of the line; neither its slope nor its value at zero is negative.
func (l *line) at(x float64) float64 {
	slope := 0.0
	if variance := l.xx.value - l.x.value*l.x.value; variance > 0 {
		slope = math.Max(0, (l.xy.value-l.x.value*l.y.value)/variance)
	}
	if l.x.value > 0 {
		slope = math.Min(slope, l.y.value/l.x.value)
	}
	return l.y.value + slope*(x-l.x.value)
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
	prefill  line    // seconds to the first token, by uncached prompt tokens
	interval average // seconds between two tokens of a request
	service  average // seconds from start to finish

	// Since the last change of the batch size.
	observations int
	sum          float64
	batch        int // largest number of running requests seen
}

// uncached is the number of prompt tokens that the engine has to compute.
func uncached(r *Request) float64 { return float64(max(0, r.PromptTokens-r.CachedTokens)) }

// firstToken is the expected time from the start of a request to its first token.
func (e *estimates) firstToken(r *Request) time.Duration {
	return seconds(e.prefill.at(uncached(r)))
}

// observeFirstToken learns from a first token.
func (e *estimates) observeFirstToken(r *Request, took time.Duration) {
	e.prefill.observe(uncached(r), took.Seconds())
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
func (e *estimates) observeFinish(it *item, now time.Time) {
	e.service.observe(now.Sub(it.started).Seconds())
}

// isWindowFull reports whether enough was observed since the last change of the batch size.
func (e *estimates) isWindowFull(slots int) bool { return e.observations >= batchWindow*slots }

// batchSize returns the batch size to use after the last observations, where target bounds the time between tokens.
func (e *estimates) batchSize(slots, maxSlots int, target time.Duration) int {
	if !e.isWindowFull(slots) {
		return slots
	}
	mean := e.sum / float64(e.observations)
	batch := e.batch
	e.observations, e.sum, e.batch = 0, 0, 0
	if target <= 0 {
		return min(slots+1, maxSlots)
	}
	// The time between tokens grows at most in proportion to the batch.
	wanted := float64(batch) * target.Seconds() * batchMargin / mean
	change := wanted - float64(slots)
	switch {
	case change >= 1 && batch < slots:
		return slots // the present size was not put to the test
	case change >= 1:
		return min(slots+int(math.Ceil(change*batchDamping)), maxSlots)
	case change <= -1:
		return max(1, slots+int(math.Floor(change*batchDamping)))
	default:
		return slots
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
