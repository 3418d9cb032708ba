package route

import (
	"fmt"
	"math"
	"time"
)

const (
	// DefaultColdOverrun and DefaultColdSlack bound the requests that a cold server gets in any one second: the rate that it takes times
	// the overrun plus the slack.
	DefaultColdOverrun = 1.5
	DefaultColdSlack   = 5
	// turnExcess is the number of requests by which turns can exceed their rate in a second, beside those of the time for which a turn
	// can be used.
	turnExcess = 3
	// coldReserve is the number of requests of the bound that the turns leave for gateways that don't agree on the turns or the server's
	// state at the same moment.
	coldReserve = 2
	// maxColdTurnTime is the longest time for which a turn at a cold server can be used. A longer one loses fewer turns to a lack of
	// requests, but brings the turns nearer to the bound.
	maxColdTurnTime = 250 * time.Millisecond

	// MaxCold bounds the remaining cold time that a server states. A longer one counts as this.
	MaxCold = time.Hour
	// coldMargin is added to a stated cold time. The control group doesn't pass on changes below coldMargin.
	coldMargin = 250 * time.Millisecond
	// defaultColdLength is the assumed length of a cold start if the configuration doesn't state it.
	defaultColdLength = 30 * time.Second
	// reportDelay is the longest time from a change of a server until its report reaches a gateway: an interval of heartbeats plus the
	// transfer through the control group.
	reportDelay = 2 * time.Second

	// coldShare and coldEndShare are the shares of a server's capacity that count at the beginning and at the end of its cold time. Its
	// share grows from the one to the other, and after the cold time to 1.
	coldShare    = 0.1
	coldEndShare = 0.5
	// rampShare is the time in which the capacity of a server returns after its cold time, as a share of the length of a cold start.
	// minRamp and maxRamp bound it.
	rampShare = 0.25
	minRamp   = time.Second
	maxRamp   = 10 * time.Second
	// coldPenalty is the penalty for a server whose capacity counts as 0, as a share of a server's slots. Without it, cold idle servers
	// would get as much work as warm ones, since the utilisation of both is 0.
	coldPenalty = 0.3
	// coldCost is the corresponding penalty for PolicyTwoChoices.
	coldCost = 30 * time.Millisecond

	// minColdRate is the lowest rate of a cold server, in requests per second.
	minColdRate = 1e-3

	// maxColdWait bounds the wait that is stated in refusals, unless the first turn comes later: another process may have a turn sooner,
	// so a longer wait leaves turns unused.
	maxColdWait = time.Second
)

// ColdStart is what the configuration states about cold servers of a service. The zero value limits nothing.
type ColdStart struct {
	Length    time.Duration // of a cold start; 0: defaultColdLength
	PerSecond float64       // requests that one cold server takes from all processes; 0: not limited
	// Overrun and Slack bound the requests in any one second: PerSecond * Overrun + Slack. 0: the defaults.
	Overrun, Slack float64
}

// coldRule is a ColdStart with its derived values.
type coldRule struct {
	length   time.Duration
	rate     float64       // of the turns, requests per second; 0: not limited
	turnTime time.Duration // for which a turn can be used
	ramp     time.Duration // after the cold time
}

func (c ColdStart) rule() coldRule {
	r := coldRule{length: c.Length, rate: c.PerSecond}
	if r.length <= 0 {
		r.length = defaultColdLength
	}
	r.ramp = min(max(time.Duration(rampShare*float64(r.length)), minRamp), maxRamp)
	if c.Overrun <= 0 {
		c.Overrun = DefaultColdOverrun
	}
	if c.Slack <= 0 {
		c.Slack = DefaultColdSlack
	}
	r.turnTime = min(max(time.Duration((c.Overrun-1)/2*float64(time.Second)), 0), maxColdTurnTime)
	bound := c.PerSecond*c.Overrun + c.Slack - turnExcess - coldReserve
	r.rate = min(r.rate, max(bound, 0)/(1+r.turnTime.Seconds()))
	if c.PerSecond > 0 {
		r.rate = max(r.rate, minColdRate) // 0 means that there is no limit
	}
	return r
}

// ColdCause is why a server counts as cold.
type ColdCause string

// Values of ColdCause.
const (
	NotCold         ColdCause = ""
	ColdByReport    ColdCause = "report"      // its heartbeat said so
	ColdByAnswer    ColdCause = "answer"      // its answer said so
	ColdUnreachable ColdCause = "unreachable" // it was unreachable, and its state since is not known
	ColdAfterDrain  ColdCause = "drain"       // the drain of its zone ended, and its state since is not known
)

// warmth is what this process knows about whether a server is cold.
type warmth struct {
	isTracked bool // false: the server was not cold recently, and the fields below but the last two don't matter; first, as it is read most

	until      time.Time // when the cold time that the server stated ends
	cause      ColdCause // ColdByReport or ColdByAnswer, for until
	statedAt   time.Time // when the server last stated that it is cold
	answeredAt time.Time // when an answer last stated that

	lostAt       time.Time // when the server was last found unreachable; zero: not since its state is known
	unknownUntil time.Time // until when it counts as cold because it was unreachable
	reachableAt  time.Time // when an answer to a request sent since began; zero: none yet

	drainUnknownUntil time.Time // until when it counts as cold because its zone's drain ended; zero: it doesn't

	reportAt time.Time // when the newest report arrived
	sequence uint64    // of that report
}

// SetColdStart sets what the configuration states about cold servers of a model or service.
func (t *Table) SetColdStart(kind, model string, c ColdStart) {
	t.group(groupKey{kind, model}).cold = c.rule()
}

// RecordReport records a report of the registry about a registered server: how much longer the server is cold, 0 for a warm one, and the
// sequence number of the report. A report that isn't newer than the last one changes nothing, except that it may be longer cold.
func (t *Table) RecordReport(now time.Time, id string, sequence uint64, remaining time.Duration) {
	s := t.servers[id]
	if s == nil {
		return
	}
	w := &s.warmth
	isNewer := w.reportAt.IsZero() || sequence > w.sequence
	if isNewer {
		w.reportAt, w.sequence = now, sequence
		s.reviewDrain()
	}
	switch {
	case remaining > 0:
		s.setCold(now, remaining+coldMargin, ColdByReport, isNewer)
	case !isNewer || now.Sub(w.answeredAt) < reportDelay:
		// the report is older, or probably older than an answer that said that the server is cold
	default:
		s.setWarm(now)
		if now.Sub(w.lostAt) >= reportDelay {
			s.setKnown(now)
		}
	}
}

// RecordColdAnswer records that an incarnation of a server stated in the answer to a request sent at sentAt how much longer it is cold, 0
// for a warm one. Answers overtake each other: only one to a request that was sent after the server last stated that it is cold ends that.
func (t *Table) RecordColdAnswer(now time.Time, id, incarnation string, sentAt time.Time, remaining time.Duration) {
	s := t.servers[id]
	if s == nil || s.Incarnation != incarnation {
		return
	}
	w := &s.warmth
	switch {
	case remaining > 0:
		s.setCold(now, remaining, ColdByAnswer, true)
		w.answeredAt = now
	case !sentAt.Before(w.statedAt):
		s.setWarm(now)
		if !sentAt.Before(w.lostAt) {
			s.setKnown(now)
		}
	}
}

// RecordBroken records that an incarnation of a server was found unreachable, or crashed. It may have restarted, or be about to return
// from an outage: if its service has a cold rate, it counts as cold until its state is known. If another server of its zone was found
// unreachable too, the whole zone may have been, and this process may not have noticed because it sent the others nothing meanwhile.
func (t *Table) RecordBroken(now time.Time, id, incarnation string) {
	s := t.servers[id]
	if s == nil || s.Incarnation != incarnation || s.group.cold.rate == 0 {
		return
	}
	isFirst := now.Sub(s.warmth.lostAt) >= reportDelay
	s.setLost(now)
	if !isFirst || s.Zone == "" || !t.isAnotherLost(now, s) {
		return
	}
	for _, other := range t.servers {
		if other.Zone == s.Zone && other.group.cold.rate > 0 && other.warmth.lostAt.IsZero() {
			other.setLost(now)
		}
	}
}

// isAnotherLost reports whether another server of the zone of s was found unreachable recently.
func (t *Table) isAnotherLost(now time.Time, s *server) bool {
	for _, other := range t.servers {
		if other != s && other.Zone == s.Zone && now.Sub(other.warmth.lostAt) < reportDelay {
			return true
		}
	}
	return false
}

// setLost records that the server was unreachable, or may have been, so that its state is not known.
func (s *server) setLost(now time.Time) {
	w := &s.warmth
	w.isTracked = true
	w.lostAt, w.unknownUntil, w.reachableAt = now, now.Add(MaxCold), time.Time{}
}

// RecordConfirmed records that the registry was complete at the given time: every report that had reached the control group was known.
// A server that was unreachable and has answered since for reportDelay without a report that it is cold counts as warm.
func (t *Table) RecordConfirmed(now, at time.Time) {
	for _, s := range t.servers {
		s.reviewDrain()
		w := &s.warmth
		if w.lostAt.IsZero() || w.reachableAt.IsZero() {
			continue
		}
		if !at.Before(w.reachableAt.Add(reportDelay)) {
			s.setKnown(now)
		}
	}
}

// recordReachable records that the answer to a request sent at since began. If the server restarted when it was unreachable, it is cold
// for the length of a cold start at most.
func (s *server) recordReachable(now, since time.Time) {
	w := &s.warmth
	if !w.lostAt.IsZero() && w.reachableAt.IsZero() && since.After(w.lostAt) {
		w.reachableAt, w.unknownUntil = now, now.Add(s.group.cold.length)
	}
}

// setCold records a statement that the server is cold. One that isn't newer than the last report only lengthens the time.
func (s *server) setCold(now time.Time, remaining time.Duration, cause ColdCause, isNewer bool) {
	w := &s.warmth
	until := now.Add(min(remaining, MaxCold))
	if w.isTracked && !isNewer && !until.After(w.until) {
		return
	}
	w.isTracked = true
	w.until, w.cause, w.statedAt = until, cause, now
}

// setWarm ends the cold time that the server stated.
func (s *server) setWarm(now time.Time) {
	if w := &s.warmth; w.until.After(now) {
		w.until = now
	}
}

// setKnown records that the state of a server that was unreachable is known again.
func (s *server) setKnown(now time.Time) {
	w := &s.warmth
	w.lostAt = time.Time{}
	if w.unknownUntil.After(now) {
		w.unknownUntil = now
	}
}

// reviewDrain finds whether the server counts as cold because the drain of its zone ended.
func (s *server) reviewDrain() {
	if s.group.cold.rate == 0 {
		return
	}
	w := &s.warmth
	w.drainUnknownUntil = coldAfterDrainUntil(s.group.table.drainEndedAt(s.Zone), w.reportAt, s.group.cold.length)
	w.isTracked = w.isTracked || !w.drainUnknownUntil.IsZero()
}

// coldAfterDrainUntil returns until when a server counts as cold whose zone's drain ended at a time and whose last report arrived at another
// one; zero: it doesn't. The control group may never send the report of a warm server, since it isn't material, so the time is limited to the
// length of a cold start.
func coldAfterDrainUntil(ended, reportAt time.Time, length time.Duration) time.Time {
	if ended.IsZero() || reportAt.After(ended) {
		return time.Time{}
	}
	return ended.Add(length)
}

// coldUntil returns until when a tracked server counts as cold, and why; it may be a past time.
func (w *warmth) coldUntil() (until time.Time, cause ColdCause) {
	until, cause = w.until, w.cause
	if w.unknownUntil.After(until) {
		until, cause = w.unknownUntil, ColdUnreachable
	}
	if w.drainUnknownUntil.After(until) {
		until, cause = w.drainUnknownUntil, ColdAfterDrain
	}
	return until, cause
}

// coldLeft returns how much longer the server counts as cold, and why; 0 or less: it is warm.
func (s *server) coldLeft(now time.Time) (time.Duration, ColdCause) {
	if !s.warmth.isTracked {
		return 0, NotCold
	}
	until, cause := s.warmth.coldUntil()
	if left := until.Sub(now); left > 0 {
		return left, cause
	}
	return 0, NotCold
}

// isCold reports whether the server counts as cold.
func (s *server) isCold(now time.Time) bool {
	left, _ := s.coldLeft(now)
	return left > 0
}

// coldRate returns the rate limit of the server because it is cold, in requests per second from all processes; 0: none.
func (s *server) coldRate(now time.Time) float64 {
	if s.group.cold.rate == 0 || !s.isCold(now) {
		return 0
	}
	return s.group.cold.rate
}

// capacity returns the share of the server's capacity that counts when it is compared with others, from coldShare to 1. It grows while
// the server warms up, so that work returns gradually.
func (s *server) capacity(now time.Time) float64 {
	if !s.warmth.isTracked {
		return 1
	}
	return s.warmingCapacity(now)
}

func (s *server) warmingCapacity(now time.Time) float64 {
	w := &s.warmth
	length, ramp := s.group.cold.length, s.group.cold.ramp
	if length <= 0 {
		length, ramp = defaultColdLength, maxRamp // the service is not in the configuration
	}
	until, _ := w.coldUntil()
	if left := until.Sub(now); left > 0 {
		return coldEndShare - (coldEndShare-coldShare)*min(float64(left)/float64(length), 1)
	}
	warmFor := now.Sub(until)
	if warmFor >= ramp {
		w.isTracked = !w.lostAt.IsZero()
		return 1
	}
	return coldEndShare + (1-coldEndShare)*float64(warmFor)/float64(ramp)
}

// isHomeWhileWarming reports whether a server that warms up is the home of a session already. Its sessions return one after the other
// while its capacity grows, at all processes in the same order.
func (s *server) isHomeWhileWarming(now time.Time, session uint64) bool {
	capacity := s.capacity(now)
	return capacity >= 1 || float64(nextRandom(rank(session, s)))/math.MaxUint64 < capacity
}

// ColdError means that all servers that could take the request are cold or otherwise limited, and that this process has no turn at any of
// them now.
type ColdError struct {
	Left time.Duration // until the turn that is offered to this request
}

// Error implements error.
func (e *ColdError) Error() string {
	return fmt.Sprintf("every backend server of the model is cold, the next request may be sent in %v", e.Left.Round(time.Millisecond))
}

// Is reports that the error is an ErrNoCandidate too.
func (e *ColdError) Is(target error) bool { return target == ErrNoCandidate }

// coldWait returns the time until the turn that is offered to a request that no server could take now because of the limits of cold
// servers; 0: cold servers are not the cause. Each call offers the next turn, so that callers who are refused together don't return
// together.
func (g *group) coldWait(now time.Time, req *Request) time.Duration {
	t := g.table
	wall := now.Add(t.clockAhead)
	first, firstWarm := time.Duration(0), time.Duration(0) // until a turn, until a server is warm
	rate := 0.0                                            // of this process at cold servers
	for _, s := range g.servers {
		if !s.isStaying() || !s.serves(req) || !s.isAvailable(now) {
			continue
		}
		left := max(s.pauseLeft(now), 0)
		perSecond := s.rateLimit(now)
		if perSecond > 0 {
			left = max(left, t.turns.NextTurn(wall, s.limit.chosenAt.Add(t.clockAhead), perSecond, s.order, s.turnTime(now)))
		}
		if s.coldRate(now) > 0 {
			rate += perSecond / float64(max(t.turns.Count, 1))
			if warm, _ := s.coldLeft(now); firstWarm == 0 || warm < firstWarm {
				firstWarm = warm
			}
		}
		if left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	if rate == 0 || first == 0 {
		return 0
	}
	offered := now.Add(first)
	if next := g.offeredAt.Add(time.Duration(float64(time.Second) / rate)); next.After(offered) {
		offered = next
	}
	if latest := now.Add(min(max(firstWarm, first), max(maxColdWait, first))); offered.After(latest) {
		offered = latest
	}
	g.offeredAt = offered
	return offered.Sub(now)
}

// TakeColdTurn reports whether this process may send a request to a server now as far as its coldness goes, and uses the turn if the server
// is cold. It is for requests that must go to this server; Choose uses the turns of those that it chooses.
func (t *Table) TakeColdTurn(now time.Time, id string) bool {
	s := t.servers[id]
	if s == nil || s.coldRate(now) == 0 {
		return s != nil
	}
	if !s.isWithinLimit(now) {
		return false
	}
	s.limit.chosenAt = now
	return true
}

// Coldness describes a server that counts as cold. The zero value is a warm one.
type Coldness struct {
	Cause     ColdCause
	Left      time.Duration // until it counts as warm, if nothing else is heard of it
	PerSecond float64       // requests that it takes from all processes; 0: not limited
	StatedAge time.Duration // since the server last stated that it is cold; 0: it did not
	ReportAge time.Duration // since the newest report of the registry arrived; 0: none has
}

func (s *server) coldness(now time.Time) Coldness {
	left, cause := s.coldLeft(now)
	if cause == NotCold {
		return Coldness{}
	}
	return Coldness{
		Cause: cause, Left: left, PerSecond: s.rateLimit(now),
		StatedAge: ageOf(now, s.warmth.statedAt), ReportAge: ageOf(now, s.warmth.reportAt),
	}
}

// ageOf returns the time since at, 0 for the zero time.
func ageOf(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// IsColdChange reports whether a report at now that a server is cold until a time differs materially from what is known: known is the
// time in its place, the zero time or a past one means warm. A cold time that merely elapses is no change.
func IsColdChange(now, known, until time.Time) bool {
	isCold, wasCold := until.After(now), known.After(now)
	if !isCold || !wasCold {
		return isCold != wasCold
	}
	difference := until.Sub(known)
	return difference >= coldMargin || difference <= -coldMargin
}
