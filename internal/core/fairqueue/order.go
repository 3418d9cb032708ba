package fairqueue

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/guavastack/guavastack/internal/core/decay"
)

const (
	// useHalfLife is the half-life of an organisation's use. It is longer than the time for which requests are held, so that an
	// organisation that sends much does not go first after each of its requests.
	useHalfLife = time.Second
	// floorInterval is the number of releases of higher ranks after which a rank that was passed over gets one, so that no class starves.
	floorInterval = 15
	// exceptionBurst is the number of further requests above the limit that may follow one at once. With none, requests that arrive together
	// would be late although their organisation asks for less than its share.
	exceptionBurst = 2
	// maxAccounts is the number of accounts from which those without recent use are deleted.
	maxAccounts = 256
	// minUse is the use below which an account may be deleted.
	minUse = 0.01
)

// meter is a sum whose parts decay with useHalfLife.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) add(now time.Time, v float64) {
	m.value, m.at = max(0, m.sum(now)+v), now
}

func (m *meter) sum(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	return m.value * decay.Weight(now.Sub(m.at), useHalfLife)
}

// perSecond returns the rate that keeps the sum as it is.
func (m *meter) perSecond(now time.Time) float64 {
	return m.sum(now) * math.Ln2 / useHalfLife.Seconds()
}

// accountKey identifies an account: organisations compete within a rank.
type accountKey struct {
	rank         int
	organisation string
}

// account is the use of an organisation in a rank.
type account struct {
	used    meter // requests sent that no server rejected
	asked   meter // requests entered
	waiting int
	// exceptionAt is when the next request may be sent above the limit, without exceptionBurst.
	exceptionAt time.Time
	counted     int // scratch of ahead
}

// account returns the account of an organisation in a rank, which it creates if necessary.
func (q *Queue) account(now time.Time, key accountKey) *account {
	a := q.accounts[key]
	if a != nil {
		return a
	}
	if len(q.accounts) >= maxAccounts {
		maps.DeleteFunc(q.accounts, func(_ accountKey, a *account) bool { return a.waiting == 0 && a.asked.sum(now) < minUse })
	}
	a = &account{}
	q.accounts[key] = a
	return a
}

// next returns the waiting request that is sent first: of the highest rank, except for a rank that was passed over floorInterval
// times; in it, of the organisation with the lowest use per weight; of its requests a retry, then the oldest.
func (q *Queue) next(now time.Time) *Ticket {
	return slices.MinFunc(q.waiting, func(a, b *Ticket) int {
		return cmp.Or(
			cmp.Compare(q.precedence(a.Rank), q.precedence(b.Rank)),
			cmp.Compare(a.usePerWeight(now), b.usePerWeight(now)),
			compareEntry(a, b),
		)
	})
}

// precedence returns the rank, or a number below all ranks if the rank was passed over floorInterval times.
func (q *Queue) precedence(rank int) int {
	if q.passed[rank] >= floorInterval {
		return -1
	}
	return rank
}

func (t *Ticket) usePerWeight(now time.Time) float64 { return t.account.used.sum(now) / t.Weight }

// compareEntry orders the requests of an organisation: retries, then by entry.
func compareEntry(a, b *Ticket) int {
	if a.IsRetry != b.IsRetry {
		if a.IsRetry {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.number, b.number)
}

// markWanted records that a request of a rank was not sent at once.
func (q *Queue) markWanted(rank int) {
	if _, ok := q.passed[rank]; !ok {
		q.passed[rank] = 0
	}
}

// victim returns the request to refuse when the queue is full: of the lowest rank, since no request may be refused for one of a lower
// rank; in it, the newest of the organisation with the most waiting requests per weight.
func (q *Queue) victim() *Ticket {
	return slices.MaxFunc(q.waiting, func(a, b *Ticket) int {
		return cmp.Or(
			cmp.Compare(a.Rank, b.Rank),
			cmp.Compare(float64(a.account.waiting)/a.Weight, float64(b.account.waiting)/b.Weight),
			compareEntry(a, b),
		)
	})
}

// expectedWait returns the time until t is expected to be sent, whether it waits, enters now or would return.
func (q *Queue) expectedWait(now time.Time, t *Ticket) time.Duration {
	wait := q.nextRelease(now) + time.Duration(float64(q.ahead(now, t))*float64(q.control.releaseInterval()))
	if exception, ok := q.nextException(now, t); ok {
		return min(wait, exception)
	}
	return wait
}

// nextRelease returns the time until the limit is expected to allow the next request: the oldest one in flight ends first.
func (q *Queue) nextRelease(now time.Time) time.Duration {
	pause := max(0, q.control.pausedUntil.Sub(now))
	i := q.firstActive(now)
	if i == len(q.sent) || float64(len(q.sent)-i+1) <= q.control.limit {
		return pause // before the service was contended, there is no limit and nothing need be in flight
	}
	return max(pause, q.sent[i].SentAt.Add(q.control.serviceTime).Sub(now))
}

// nextException returns the time until t may be sent even if the limit is used up, or false if it may not: its organisation must ask
// for no more than its share, and no request of a higher rank may be held. The organisations below their shares together stay below the
// capacity. After exceptionBurst requests the others follow at the interval of the share.
func (q *Queue) nextException(now time.Time, t *Ticket) (time.Duration, bool) {
	share := q.share(now, t.Rank) * t.Weight
	if share == 0 || t.account.asked.perSecond(now) > share {
		return 0, false
	}
	position := 0
	for _, w := range q.waiting {
		if w.Rank < t.Rank {
			return 0, false
		}
		if w.account == t.account && w != t && compareEntry(w, t) < 0 {
			position++
		}
	}
	interval := time.Duration(float64(time.Second) / share)
	return max(0, later(t.account.exceptionAt, now).Sub(now)+time.Duration(position-exceptionBurst)*interval), true
}

// takeException reports whether t may be sent now even if the limit is used up, and counts it if so.
func (q *Queue) takeException(now time.Time, t *Ticket) bool {
	if wait, ok := q.nextException(now, t); !ok || wait > 0 {
		return false
	}
	interval := time.Duration(float64(time.Second) / (q.share(now, t.Rank) * t.Weight))
	t.account.exceptionAt = later(t.account.exceptionAt, now).Add(interval)
	return true
}

// ahead returns the number of waiting requests that are sent before t if no others enter.
func (q *Queue) ahead(now time.Time, t *Ticket) int {
	position := 0 // of t among the requests of its organisation and rank
	for _, w := range q.waiting {
		w.account.counted = 0
		if w.account == t.account && w.Rank == t.Rank && w != t && compareEntry(w, t) < 0 {
			position++
		}
	}
	mine := (t.account.used.sum(now) + float64(position)) / t.Weight
	higher, same := 0, 0
	for _, w := range q.waiting {
		switch {
		case w == t || w.Rank > t.Rank:
		case w.Rank < t.Rank:
			higher++
		case w.account == t.account:
			if compareEntry(w, t) < 0 {
				same++
			}
		default:
			if (w.account.used.sum(now)+float64(w.account.counted))/w.Weight <= mine {
				same++
			}
			w.account.counted++
		}
	}
	if higher == 0 {
		return same
	}
	return min(higher+same, max(0, floorInterval-q.passed[t.Rank])+same*(floorInterval+1))
}

// Standing is the part of a service that an organisation uses in a rank, for logs.
type Standing struct {
	UsePerSecond   float64 // requests sent
	AskedPerSecond float64 // requests that entered the queue
	SharePerSecond float64 // what max-min fairness grants to the organisation at most
	Waiting        int     // requests of the organisation that are held
}

// Standing returns the standing of the organisation of t, which must have entered q.
func (q *Queue) Standing(now time.Time, t *Ticket) Standing {
	return Standing{
		UsePerSecond:   t.account.used.perSecond(now),
		AskedPerSecond: t.account.asked.perSecond(now),
		SharePerSecond: q.share(now, t.Rank) * t.Weight,
		Waiting:        t.account.waiting,
	}
}

// share returns the max-min fair share of an organisation of weight 1 in a rank, in requests per second: of what the higher ranks
// leave, the part that the organisations that ask for less leave is divided among the others.
func (q *Queue) share(now time.Time, rank int) float64 {
	capacity := q.control.perSecond()
	left := capacity
	var above []float64
	asked := make([]float64, 0, len(q.accounts))
	for key, a := range q.accounts {
		rate := a.asked.perSecond(now)
		switch {
		case rate <= minUse || key.rank > rank:
		case key.rank < rank:
			above = append(above, rate)
		default:
			asked = append(asked, rate)
		}
	}
	slices.Sort(above) // sums of floating-point numbers depend on the order, which is random in a map
	for _, rate := range above {
		left -= rate
	}
	left = max(left, capacity/(floorInterval+1))
	slices.Sort(asked)
	most := 0.0
	for i, rate := range asked {
		equal := left / float64(len(asked)-i)
		if rate >= equal {
			return equal
		}
		left -= rate
		most = rate
	}
	return most + left
}
