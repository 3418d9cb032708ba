package limit

import "time"

const (
	// step is the resolution of the sliding minute.
	step = 5 * time.Second
	// steps cover a minute and the step in progress, so that no minute holds more than the limit.
	steps = int(time.Minute/step) + 1
	// headroomDivisor is the part of a limit that a lower tier leaves free while a higher one is active.
	headroomDivisor = 8
	// activeFor is how long a tier counts as active after an arrival.
	activeFor = time.Minute
	// minRetryAfter bounds what refused callers are told from below.
	minRetryAfter = time.Second
	// holdWeight is the weight of a new observation in the mean time that a request is held.
	holdWeight = 0.1
)

// window is a count over the last minute, in steps.
type window struct {
	counts [steps]float64
	total  float64
	last   int64 // number of the step in progress
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

// until returns the time until the count has fallen by n.
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

// counter is the use of one scope at one entry.
type counter struct {
	requests   window
	tokens     window
	concurrent int
	hold       time.Duration // mean time that a request is held
	lastByTier []time.Time   // last arrival of each tier
}

// active notes an arrival of a tier.
func (c *counter) active(now time.Time, tier int) {
	for len(c.lastByTier) <= tier {
		c.lastByTier = append(c.lastByTier, time.Time{})
	}
	c.lastByTier[max(0, tier)] = now
}

// hasHigherActive reports whether a tier above is active.
func (c *counter) hasHigherActive(now time.Time, tier int) bool {
	for _, last := range c.lastByTier[:min(max(0, tier), len(c.lastByTier))] {
		if !last.IsZero() && now.Sub(last) < activeFor {
			return true
		}
	}
	return false
}

// check returns the refusal of a request that the limits do not admit.
func (c *counter) check(now time.Time, r *Request, s *Scope, held heldShare) *Refusal {
	higher := c.hasHigherActive(now, r.Tier)
	refuse := func(q Quantity, limit int, after time.Duration) *Refusal {
		return &Refusal{Scope: s.Kind, Name: s.Name, Quantity: q, Limit: limit, RetryAfter: after}
	}
	if limit := s.Limits.RequestsPerMinute; limit > 0 {
		room := usable(held.units(now, limit), higher)
		if used := c.requests.sum(now); used+1 > float64(room) {
			return refuse(Requests, limit, c.requests.until(now, used+1-float64(room)))
		}
	}
	if limit := s.Limits.TokensPerMinute; limit > 0 {
		room := usable(held.units(now, limit), higher)
		if used := c.tokens.sum(now); used+float64(r.Tokens) > float64(room) {
			return refuse(Tokens, limit, c.tokens.until(now, used+float64(r.Tokens)-float64(room)))
		}
	}
	if limit := s.Limits.Concurrency; limit > 0 {
		if c.concurrent+1 > usable(held.units(now, limit), higher) {
			return refuse(Concurrency, limit, c.nextRelease())
		}
	}
	return nil
}

// usable is the part of an entry's units that a tier may fill; it leaves room for an active higher tier.
func usable(units int, higherActive bool) int {
	if !higherActive || units == 0 {
		return units
	}
	return units - max(1, units/headroomDivisor)
}

func (c *counter) take(now time.Time, tokens int) {
	c.requests.add(now, 1)
	c.tokens.add(now, float64(tokens))
	c.concurrent++
}

func (c *counter) release(held time.Duration) {
	c.concurrent--
	if c.hold == 0 {
		c.hold = held
		return
	}
	c.hold += time.Duration(holdWeight * float64(held-c.hold))
}

// nextRelease is the expected time until a request in progress ends.
func (c *counter) nextRelease() time.Duration {
	return max(minRetryAfter, c.hold/time.Duration(max(1, c.concurrent)))
}

func (c *counter) isIdle(now time.Time) bool {
	return c.concurrent == 0 && c.requests.sum(now) == 0 && c.tokens.sum(now) == 0
}
