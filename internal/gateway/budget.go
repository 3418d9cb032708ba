package gateway

import (
	"sync"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/retry"
)

// budgets bound the sends beyond the first of each request, for each service by itself. They are safe for concurrent use.
type budgets struct {
	ratio float64

	mu        sync.Mutex
	byService map[string]*retry.ShareBudget
}

func newBudgets(ratio float64) *budgets {
	return &budgets{ratio: ratio, byService: make(map[string]*retry.ShareBudget)}
}

// requested counts a request of a service.
func (b *budgets) requested(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).OnRequest(clock.Now())
}

// take draws one further send to a service, or returns false where its budget is used up.
func (b *budgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Take(clock.Now())
}

// of is called with mu locked.
func (b *budgets) of(service string) *retry.ShareBudget {
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewShareBudget(b.ratio)
		b.byService[service] = budget
	}
	return budget
}
