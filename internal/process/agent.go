package process

import (
	"context"
	"net"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/guavastack/guavastack/internal/agent"
	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/sched"
	"github.com/guavastack/guavastack/internal/watch"
	"github.com/guavastack/guavastack/proto/controlpb"
)

const roleAgent = "agent"

// Agent is the agent role.
type Agent struct {
	agent     *agent.Agent
	registrar *watch.Registrar
}

// policies maps the names of scheduling policies in settings files to the policies.
var policies = map[string]sched.Policy{
	config.DefaultPolicy: sched.PolicyTiered,
	"fifo":               sched.PolicyFIFO,
}

// NewAgent returns the agent role with its listener open.
func NewAgent(base *Base) (*Agent, error) {
	c := base.Config.Agent
	lis, err := base.Network.Listen(c.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "agent.listen")
	}
	registry := metrics.NewRegistry()
	base.Metrics.Attach(registry)
	var registrar *watch.Registrar
	a, err := agent.New(agent.Config{
		ID:          base.Config.ID,
		Incarnation: base.Incarnation,
		Zone:        base.Config.Zone,
		Listener:    lis,
		Advertise:   advertisedAddress(c, lis.Addr()),
		Backend:     backendConfig(c.Backend),
		QueueLimit:  c.QueueLimit,
		Policy:      policies[c.Policy],
		Logger:      base.Logger,
		Metrics:     registry,
		OnLifecycle: func() { registrar.Notify() },
	})
	if err != nil {
		return nil, err
	}
	registrar = watch.NewRegistrar(watch.Config{
		ProcessID:   base.Config.ID,
		Incarnation: base.Incarnation,
		Role:        roleAgent,
		Zone:        base.Config.Zone,
		Control:     base.Config.ControlMembers,
		Dial:        base.Network.Dial,
		Logger:      base.Logger,
	}, func() *controlpb.BackendServer { return proto.CloneOf(a.Registration()) })
	registrar.OnDirective(func(d *controlpb.AgentDirective) { a.ObserveFencing(d.Fencing) })
	return &Agent{agent: a, registrar: registrar}, nil
}

// advertisedAddress returns the address that entries connect to. Unless agent.advertise is set, it is the actual address
// of the listener, because port 0 in agent.listen is resolved only by listening.
func advertisedAddress(c *config.Agent, addr net.Addr) string {
	if c.Advertise == c.Listen {
		return addr.String()
	}
	return c.Advertise
}

func backendConfig(b config.Backend) agent.BackendConfig {
	cfg := agent.BackendConfig{
		Kind:          agent.BackendKind(b.Kind),
		URL:           b.URL,
		Model:         b.Model,
		Version:       b.Version,
		Adapters:      b.Adapters,
		Slots:         b.Slots,
		MaxSlots:      b.MaxSlots,
		Resumable:     b.Resumable,
		ChecksFencing: b.ChecksFencing,
	}
	if cfg.Kind == agent.KindService {
		cfg.Model = b.Service
	}
	return cfg
}

// Addr returns the address on which the agent accepts links.
func (a *Agent) Addr() net.Addr { return a.agent.Addr() }

// Status implements Role.
func (a *Agent) Status() (ready bool, reason string) {
	lifecycle := a.agent.Registration().Lifecycle
	return lifecycle == route.LifecycleReady, "agent is " + lifecycle
}

// Run implements Role. At shutdown the agent first reports that it is leaving, returns queued requests to their entries
// and waits until running requests have ended; its links and its registration stay up until then.
func (a *Agent) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var running errgroup.Group
	running.Go(func() error { return ignoreCancelled(a.agent.Run(serveCtx)) })
	running.Go(func() error { return ignoreCancelled(a.registrar.Run(serveCtx)) })
	done := make(chan error, 1)
	go func() { done <- running.Wait() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	err := a.agent.Shutdown(serveCtx)
	stop()
	return errors.Annotate(firstError(err, <-done), "agent")
}

// ignoreCancelled returns nil for context.Canceled, which is how components end at a regular shutdown.
func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
