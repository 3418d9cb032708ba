// Package decay gives the weight of observations that lose half of it in each half-life.
package decay

import (
	"math"
	"time"
)

// Weight returns the weight of an observation of the given age, from 0 to 1. An age below 0 counts as 0.
func Weight(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
