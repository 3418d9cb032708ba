package gateway

import (
	"sync"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/retry"
)

// budgets hold one retry budget per service, which bounds the sends beyond the first of each request. They are safe for
// concurrent use.
type budgets struct {
	ratio float64

	mu        sync.Mutex
	byService map[string]*retry.ShareBudget
}

func newBudgets(ratio float64) *budgets {
	return &budgets{ratio: ratio, byService: make(map[string]*retry.ShareBudget)}
}

// recordRequest counts a request for a service, which adds to its budget.
func (b *budgets) recordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forService(service).OnRequest(clock.Now())
}

// take uses the budget of a service for one retry, or returns false if the budget is exhausted.
func (b *budgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forService(service).Take(clock.Now())
}

// forService returns the budget of a service, which it creates if necessary. mu must be held.
func (b *budgets) forService(service string) *retry.ShareBudget {
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewShareBudget(b.ratio)
		b.byService[service] = budget
	}
	return budget
}
