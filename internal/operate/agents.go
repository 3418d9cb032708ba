package operate

import (
	"context"

	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"

	"github.com/guavastack/guavastack/internal/leasecall"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// AgentClient implements Agents over drpc. Every call opens a connection of its own, so that no call hangs on a
// connection that has silently failed; orders are rare enough for that.
type AgentClient struct{}

var _ Agents = AgentClient{}

// SetLifecycle implements Agents.
func (AgentClient) SetLifecycle(
	ctx context.Context, server *controlpb.BackendServer, req *linkpb.LifecycleRequest,
) (*linkpb.LifecycleReply, error) {
	var reply *linkpb.LifecycleReply
	err := withAgent(ctx, server, func(client linkpb.DRPCAgentLinkClient) error {
		var err error
		reply, err = client.SetLifecycle(ctx, req)
		return err
	})
	return reply, err
}

// Order implements Agents.
func (AgentClient) Order(
	ctx context.Context, server *controlpb.BackendServer, order *linkpb.EngineOrder,
) (*linkpb.EngineOrderResult, error) {
	var result *linkpb.EngineOrderResult
	err := withAgent(ctx, server, func(client linkpb.DRPCAgentLinkClient) error {
		var err error
		result, err = client.Order(ctx, order)
		return err
	})
	return result, err
}

// withAgent calls f with a client of the server's agent on a new connection, which sends nothing after the deadline of ctx.
func withAgent(ctx context.Context, server *controlpb.BackendServer, f func(linkpb.DRPCAgentLinkClient) error) error {
	raw, err := leasecall.Dial(ctx, "tcp", server.Address)
	if err != nil {
		return errors.Annotatef(err, "call the agent of %s", server.Id)
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	return errors.Annotatef(f(linkpb.NewDRPCAgentLinkClient(conn)), "call the agent of %s", server.Id)
}
