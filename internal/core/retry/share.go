package retry

import "time"

const (
	// shareWindow is the span over which a ShareBudget compares further sends with requests.
	shareWindow = 10 * time.Second
	// shareSlots divide the window.
	shareSlots = 20
	// shareFloor is the number of further sends in a window that need no requests to pay for them.
	shareFloor = 2
	// shareMargin keeps the budget below its ratio, for windows that begin at another moment elsewhere.
	shareMargin = 0.75
)

// ShareBudget bounds the sends beyond the first of each request to a share of the requests in a sliding window. Each
// process holds one for its own requests, so that the sum over all processes keeps the share without any messages.
// It is not safe for concurrent use.
type ShareBudget struct {
	ratio float64
	slots [shareSlots]shareSlot
}

// shareSlot counts one slice of the window.
type shareSlot struct {
	number   int64 // of the slice since the epoch of the clock
	requests int
	extra    int
}

// NewShareBudget returns a budget that keeps further sends below ratio times the requests.
func NewShareBudget(ratio float64) *ShareBudget { return &ShareBudget{ratio: ratio * shareMargin} }

func (b *ShareBudget) slot(now time.Time) *shareSlot {
	number := now.UnixNano() / int64(shareWindow/shareSlots)
	s := &b.slots[((number%shareSlots)+shareSlots)%shareSlots]
	if s.number != number {
		*s = shareSlot{number: number}
	}
	return s
}

// OnRequest counts a request.
func (b *ShareBudget) OnRequest(now time.Time) { b.slot(now).requests++ }

// Take draws one further send, or returns false where the budget is used up.
func (b *ShareBudget) Take(now time.Time) bool {
	current := b.slot(now)
	requests, extra := 0, 0
	for _, s := range b.slots {
		if age := current.number - s.number; age >= 0 && age < shareSlots {
			requests += s.requests
			extra += s.extra
		}
	}
	if float64(extra+1) > b.ratio*float64(requests)+shareFloor {
		return false
	}
	current.extra++
	return true
}
