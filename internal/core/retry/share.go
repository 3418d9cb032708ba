package retry

import "time"

const (
	// shareWindow is the sliding window over which a ShareBudget compares retries with requests.
	shareWindow = 10 * time.Second
	// shareSlots is the number of slots in the window.
	shareSlots = 20
	// shareFloor is the number of retries per window that are allowed regardless of the requests.
	shareFloor = 2
	// shareMargin keeps the budget below its ratio, because an observer's window may be aligned differently.
	shareMargin = 0.75
)

// ShareBudget bounds retries to a share of the requests in a sliding window. Each process has one for its own requests, so that
// the share holds over all processes without coordination. It is not safe for concurrent use.
type ShareBudget struct {
	ratio float64
	floor float64 // allowed per window regardless of the requests
	span  int64   // number of slots whose retries count
	slots [shareSlots + 1]shareSlot
}

// shareSlot counts one slot of the window.
type shareSlot struct {
	number   int64 // number of the slot since the Unix epoch
	requests int
	retries  int
}

// NewShareBudget returns a budget that keeps retries below ratio times the requests.
func NewShareBudget(ratio float64) *ShareBudget {
	return &ShareBudget{ratio: ratio * shareMargin, floor: shareFloor, span: shareSlots}
}

// NewStrictShareBudget returns a budget without a floor or a margin: it allows at most ratio times the requests of the window, and nothing
// without requests. It is for extra work that nothing depends on. The slots of the window cover 9.5 to 10 s. Retries count for one slot longer,
// so that the share holds in the 10 s before each of them.
func NewStrictShareBudget(ratio float64) *ShareBudget {
	return &ShareBudget{ratio: ratio, span: shareSlots + 1}
}

func (b *ShareBudget) currentSlot(now time.Time) *shareSlot {
	number := now.UnixNano() / int64(shareWindow/shareSlots)
	n := int64(len(b.slots))
	s := &b.slots[((number%n)+n)%n]
	if s.number != number {
		*s = shareSlot{number: number}
	}
	return s
}

// OnRequest counts a request.
func (b *ShareBudget) OnRequest(now time.Time) { b.currentSlot(now).requests++ }

// Take uses one retry of the budget, or returns false if the budget is exhausted.
func (b *ShareBudget) Take(now time.Time) bool {
	if !b.Allows(now) {
		return false
	}
	b.currentSlot(now).retries++
	return true
}

// Allows reports whether Take would use a retry.
func (b *ShareBudget) Allows(now time.Time) bool {
	current := b.currentSlot(now)
	requests, retries := 0, 0
	for _, s := range b.slots {
		age := current.number - s.number
		if age >= 0 && age < shareSlots {
			requests += s.requests
		}
		if age >= 0 && age < b.span {
			retries += s.retries
		}
	}
	return float64(retries+1) <= b.ratio*float64(requests)+b.floor
}
