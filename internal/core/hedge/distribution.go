package hedge

import (
	"math"
	"time"

	"github.com/guavastack/guavastack/internal/core/decay"
)

const (
	// shortest is the upper bound of the first bucket of a distribution.
	shortest = 100 * time.Microsecond
	// perOctave is the number of buckets in which a time doubles, so that a quantile is at most 9 % too long.
	perOctave = 8
	// buckets cover times up to 100 s. Longer ones count in the last bucket.
	buckets = 20*perOctave + 1
	// memory is the half-life of an observation. A gateway with one request per second then has a weight of 29 in a distribution.
	memory = 20 * time.Second
	// minWeight is the weight of the observations below which nothing is expected.
	minWeight = 20
	// decayInterval is the time between two reductions of the weights.
	decayInterval = time.Second
)

// distribution is a histogram of times of which older ones count less.
type distribution struct {
	weights   [buckets]float32
	total     float64
	decayedAt time.Time
	usedAt    time.Time
}

// bucketOf returns the bucket of a time.
func bucketOf(took time.Duration) int {
	if took <= shortest {
		return 0
	}
	return min(int(math.Ceil(perOctave*math.Log2(float64(took)/float64(shortest)))), buckets-1)
}

// upperBound returns the longest time of a bucket.
func upperBound(bucket int) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2(float64(bucket)/perOctave))
}

// record adds a time that was observed at now.
func (d *distribution) record(now time.Time, took time.Duration) {
	d.age(now)
	d.weights[bucketOf(took)]++
	d.total++
	d.usedAt = now
}

// age reduces the weights of what was observed before now.
func (d *distribution) age(now time.Time) {
	passed := now.Sub(d.decayedAt)
	if passed < decayInterval {
		return
	}
	d.decayedAt = now
	if d.total == 0 {
		return
	}
	weight := decay.Weight(passed, memory)
	for i := range d.weights {
		d.weights[i] *= float32(weight)
	}
	d.total *= weight
}

// quantile returns the time that the share q of the observations does not exceed, or false if there are too few.
func (d *distribution) quantile(now time.Time, q float64) (time.Duration, bool) {
	d.age(now)
	if d.total < minWeight {
		return 0, false
	}
	sum := 0.0
	for i, w := range d.weights {
		if sum += float64(w); sum >= q*d.total {
			return upperBound(i), true
		}
	}
	return upperBound(buckets - 1), true
}
