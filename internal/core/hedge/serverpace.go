package hedge

import (
	"math"
	"time"

	"github.com/guavastack/guavastack/internal/core/decay"
)

const (
	// slowFactor is the multiple of the usual time from which a server counts as slow.
	slowFactor = 2
	// paceWeight is the weight of a new observation in the pace of a server.
	paceWeight = 0.2
	// minPaces is the number of observations from which the pace of a server is known.
	minPaces = 3
	// paceMemory is the half-life of a pace without new observations, so that a server that was slow is measured again.
	paceMemory = 30 * time.Second
)

// Server identifies one incarnation of a backend server.
type Server struct{ ID, Incarnation string }

// serverPace is how a server's times compare with the median of their class.
type serverPace struct {
	logRatio float64 // moving average of the logarithm of time / median
	count    int
	at       time.Time // of the last observation
	late     int       // requests that were late while the server was slow
}

// value returns the average at now. It returns to 0, the median, without observations.
func (p *serverPace) value(now time.Time) float64 {
	return p.logRatio * decay.Weight(now.Sub(p.at), paceMemory)
}

// record adds an observation. A time that is only known to be longer never makes a server appear faster.
func (p *serverPace) record(now time.Time, took, median time.Duration, isLonger bool) {
	logRatio := math.Log(float64(max(took, 1)) / float64(median))
	before := p.value(now)
	p.count++
	if isLonger && logRatio < before {
		logRatio = before
	}
	weight := max(paceWeight, 1/float64(p.count))
	p.logRatio, p.at = before+weight*(logRatio-before), now
}

// isSlow reports whether the server is known to take a multiple of the usual time. The receiver may be nil.
func (p *serverPace) isSlow(now time.Time) bool {
	return p != nil && p.count >= minPaces && p.value(now) > math.Log(slowFactor)
}
