package control

import (
	"context"
	"sync"

	"github.com/guavastack/guavastack/internal/wait"
)

// confirmer answers freshness queries. All queries that wait at the same time share one quorum round.
type confirmer struct {
	group Group
	hub   *hub

	mu      sync.Mutex
	waiting []func(position)
	wake    chan struct{}
}

func newConfirmer(group Group, h *hub) *confirmer {
	return &confirmer{group: group, hub: h, wake: make(chan struct{}, 1)}
}

// enqueue calls answer with the newest position once a quorum round that started after the call has confirmed it. If the
// round fails, answer is never called.
func (c *confirmer) enqueue(answer func(position)) {
	c.mu.Lock()
	c.waiting = append(c.waiting, answer)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *confirmer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
			c.round(ctx)
			wait.For(ctx, confirmSpacing)
		}
	}
}

// round answers the waiting queries. A failed round drops them; watchers repeat their queries.
func (c *confirmer) round(ctx context.Context) {
	c.mu.Lock()
	queries := c.waiting
	c.waiting = nil
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	index, err := c.group.ReadIndex(ctx)
	if err != nil {
		return
	}
	if err := c.group.WaitApplied(ctx, index); err != nil {
		return
	}
	c.hub.refresh()
	newest := c.hub.position()
	for _, answer := range queries {
		answer(newest)
	}
}
