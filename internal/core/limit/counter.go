package limit

import "time"

const (
	// step is the resolution of the sliding window of one minute.
	step = 5 * time.Second
	// steps is the number of steps in a minute plus the current one, so that no minute can exceed the limit.
	steps = int(time.Minute/step) + 1
	// headroomDivisor divides a limit to give the part that a lower tier leaves free while a higher tier is active.
	headroomDivisor = 8
	// activeFor is how long a tier counts as active after an arrival.
	activeFor = time.Minute
	// minRetryAfter is the lower bound of Refusal.RetryAfter.
	minRetryAfter = time.Second
	// durationWeight is the weight of a new observation in the mean duration of requests.
	durationWeight = 0.1
)

// window is a sliding-window counter over the last minute.
type window struct {
	counts [steps]float64
	total  float64
	last   int64 // number of the current step
}

func (w *window) advance(now time.Time) {
	current := now.UnixNano() / int64(step)
	if current <= w.last {
		return
	}
	gap := min(current-w.last, int64(steps))
	for i := int64(1); i <= gap; i++ {
		slot := (w.last + i) % int64(steps)
		if gap == int64(steps) {
			slot = i % int64(steps)
		}
		w.total -= w.counts[slot]
		w.counts[slot] = 0
	}
	w.last = current
}

func (w *window) add(now time.Time, n float64) {
	w.advance(now)
	w.counts[w.last%int64(steps)] += n
	w.total += n
}

func (w *window) sum(now time.Time) float64 {
	w.advance(now)
	return w.total
}

// until returns the time until the count will have fallen by n without further additions.
func (w *window) until(now time.Time, n float64) time.Duration {
	w.advance(now)
	for i := int64(1); i <= int64(steps); i++ {
		n -= w.counts[(w.last+i)%int64(steps)]
		if n <= 0 {
			end := time.Unix(0, (w.last+i)*int64(step))
			return max(minRetryAfter, end.Sub(now))
		}
	}
	return time.Minute
}

// counter counts the usage of one scope at this entry.
type counter struct {
	requests     window
	tokens       window
	concurrent   int
	meanDuration time.Duration // mean duration of a request
	lastArrivals []time.Time   // time of the last arrival by tier
}

// recordArrival records an arrival of a tier. A tier below 0 counts as the highest.
func (c *counter) recordArrival(now time.Time, tier int) {
	tier = max(0, tier)
	for len(c.lastArrivals) <= tier {
		c.lastArrivals = append(c.lastArrivals, time.Time{})
	}
	c.lastArrivals[tier] = now
}

// hasHigherActive reports whether a higher tier is active.
func (c *counter) hasHigherActive(now time.Time, tier int) bool {
	for _, last := range c.lastArrivals[:min(max(0, tier), len(c.lastArrivals))] {
		if !last.IsZero() && now.Sub(last) < activeFor {
			return true
		}
	}
	return false
}

// check returns a refusal if the request exceeds one of the limits, otherwise nil.
func (c *counter) check(now time.Time, r *Request, s *Scope, share assignedShare) *Refusal {
	higher := c.hasHigherActive(now, r.Tier)
	refuse := func(q Quantity, limit int, after time.Duration) *Refusal {
		return &Refusal{Scope: s.Kind, Name: s.Name, Quantity: q, Limit: limit, RetryAfter: after}
	}
	if limit := s.Limits.RequestsPerMinute; limit > 0 {
		room := usableUnits(share.units(now, limit), higher)
		if used := c.requests.sum(now); used+1 > float64(room) {
			return refuse(Requests, limit, c.requests.until(now, used+1-float64(room)))
		}
	}
	if limit := s.Limits.TokensPerMinute; limit > 0 {
		room := usableUnits(share.units(now, limit), higher)
		if used := c.tokens.sum(now); used+float64(r.Tokens) > float64(room) {
			return refuse(Tokens, limit, c.tokens.until(now, used+float64(r.Tokens)-float64(room)))
		}
	}
	if limit := s.Limits.Concurrency; limit > 0 {
		if c.concurrent+1 > usableUnits(share.units(now, limit), higher) {
			return refuse(Concurrency, limit, c.nextRelease())
		}
	}
	return nil
}

// usableUnits returns how many of the entry's units a tier may use; it leaves headroom for an active higher tier.
func usableUnits(units int, higherActive bool) int {
	if !higherActive || units == 0 {
		return units
	}
	return units - max(1, units/headroomDivisor)
}

func (c *counter) add(now time.Time, tokens int) {
	c.requests.add(now, 1)
	c.tokens.add(now, float64(tokens))
	c.concurrent++
}

func (c *counter) release(duration time.Duration) {
	c.concurrent--
	if c.meanDuration == 0 {
		c.meanDuration = duration
		return
	}
	c.meanDuration += time.Duration(durationWeight * float64(duration-c.meanDuration))
}

// nextRelease returns the expected time until the next request in progress ends.
func (c *counter) nextRelease() time.Duration {
	return max(minRetryAfter, c.meanDuration/time.Duration(max(1, c.concurrent)))
}

func (c *counter) isIdle(now time.Time) bool {
	return c.concurrent == 0 && c.requests.sum(now) == 0 && c.tokens.sum(now) == 0
}
