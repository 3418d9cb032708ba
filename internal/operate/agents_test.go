package operate_test

import (
	"context"
	"testing"

	"github.com/guavastack/guavastack/internal/leasecall/leasecalltest"
	"github.com/guavastack/guavastack/internal/operate"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// Guards against an order of a former leader that the kernel delivers after one of its successor (review/4).
func TestAbandonedAgentCallsAreReset(t *testing.T) {
	t.Run("order", func(t *testing.T) {
		leasecalltest.CheckAbandonedCallIsReset(t, func(ctx context.Context, address string) error {
			_, err := operate.AgentClient{}.Order(ctx, &controlpb.BackendServer{Id: "s", Address: address}, &linkpb.EngineOrder{OrderId: "x"})
			return err
		})
	})
	t.Run("lifecycle", func(t *testing.T) {
		leasecalltest.CheckAbandonedCallIsReset(t, func(ctx context.Context, address string) error {
			_, err := operate.AgentClient{}.SetLifecycle(ctx, &controlpb.BackendServer{Id: "s", Address: address}, &linkpb.LifecycleRequest{})
			return err
		})
	})
}
