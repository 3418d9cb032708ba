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

// account is an organisation with its use.
type account struct {
	used    meter // requests sent that no server rejected
	asked   meter // requests entered
	waiting int
	counted int // scratch of expectedWait
}

// account returns the account of an organisation, which it creates if necessary.
func (q *Queue) account(now time.Time, organisation string) *account {
	a := q.accounts[organisation]
	if a != nil {
		return a
	}
	if len(q.accounts) >= maxAccounts {
		maps.DeleteFunc(q.accounts, func(_ string, a *account) bool { return a.waiting == 0 && a.asked.sum(now) < minUse })
	}
	a = &account{}
	q.accounts[organisation] = a
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
	return time.Duration(float64(q.ahead(now, t)+1) * float64(q.control.releaseInterval()))
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

// Standing is the part of a service that an organisation uses, for logs.
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
		SharePerSecond: q.share(now) * t.Weight,
		Waiting:        t.account.waiting,
	}
}

// share returns the max-min fair share of an organisation of weight 1, in requests per second: what the organisations that ask for
// less leave is divided among the others.
func (q *Queue) share(now time.Time) float64 {
	asked := make([]float64, 0, len(q.accounts))
	for _, a := range q.accounts {
		if rate := a.asked.perSecond(now); rate > minUse {
			asked = append(asked, rate)
		}
	}
	slices.Sort(asked)
	left := q.control.perSecond()
	for i, rate := range asked {
		equal := left / float64(len(asked)-i)
		if rate >= equal {
			return equal
		}
		left -= rate
	}
	return left
}
