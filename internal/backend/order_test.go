package backend_test

import (
	"context"
	"testing"

	"github.com/guavastack/guavastack/internal/backend"
	"github.com/guavastack/guavastack/internal/leasecall/leasecalltest"
)

// Guards against an order of a former leader that the kernel delivers to the engine after one of its successor (review/4).
func TestAbandonedOrderIsReset(t *testing.T) {
	leasecalltest.CheckAbandonedCallIsReset(t, func(ctx context.Context, address string) error {
		engine := backend.NewEngine(backend.Config{URL: "http://" + address})
		defer engine.Close()
		return engine.Order(ctx, backend.Order{ID: "x", Fencing: 1})
	})
}
