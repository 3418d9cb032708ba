// Package pace estimates how long the answers of a class take at most, from those that were observed.
package pace

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/decay"
)

// halfLife is the half-life of an observed maximum, so that one slow answer does not determine the estimate for ever.
const halfLife = 30 * time.Second

// Answer is an observed answer.
type Answer struct {
	First        time.Duration // from the arrival of the request to the beginning of the answer
	Total        time.Duration // from the arrival of the request to the end of the answer
	OutputTokens int           // number of tokens that the request allowed; 0: not stated
}

// Estimator estimates how long answers take. It is not safe for concurrent use.
type Estimator struct {
	classes map[string]*class
}

// class holds the slowest observations of one class.
type class struct {
	first    decayingMax // seconds to the beginning of an answer
	rest     decayingMax // seconds from there to the end, of answers without a number of tokens
	perToken decayingMax // seconds for each token, of the other answers
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator { return &Estimator{classes: make(map[string]*class)} }

// Record records an answer of a class that ended at now.
func (e *Estimator) Record(now time.Time, name string, a Answer) {
	c := e.classes[name]
	if c == nil {
		c = &class{}
		e.classes[name] = c
	}
	rest := (a.Total - a.First).Seconds()
	c.first.record(now, a.First.Seconds())
	if a.OutputTokens > 0 {
		c.perToken.record(now, rest/float64(a.OutputTokens))
		return
	}
	c.rest.record(now, rest)
}

// Longest returns how long an answer to a request of a class takes at most, judged by the slowest recent answers. It returns
// false if no answer of the class was observed.
func (e *Estimator) Longest(now time.Time, name string, outputTokens int) (time.Duration, bool) {
	c := e.classes[name]
	if c == nil {
		return 0, false
	}
	seconds := c.first.value(now) + c.rest.value(now) + c.perToken.value(now)*float64(outputTokens)
	return time.Duration(seconds * float64(time.Second)), true
}

// decayingMax is a maximum that decays with halfLife.
type decayingMax struct {
	max float64
	at  time.Time // when max was recorded
}

func (m *decayingMax) record(now time.Time, v float64) {
	if v >= m.value(now) {
		m.max, m.at = v, now
	}
}

func (m *decayingMax) value(now time.Time) float64 {
	return m.max * decay.Weight(now.Sub(m.at), halfLife)
}
