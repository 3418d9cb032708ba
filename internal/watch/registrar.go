package watch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
)

// renewInterval is the time between reports of an agent.
const renewInterval = time.Second

// Registrar keeps a backend server registered with one control member at a time.
type Registrar struct {
	cfg       Config
	report    func() *controlpb.BackendServer
	startedMS int64
	sequence  uint64
	notify    chan struct{}
	directive atomic.Pointer[controlpb.AgentDirective]
	onOrder   func(*controlpb.AgentDirective)
}

// NewRegistrar returns a registrar of the backend server that report describes. report returns a fresh message each
// time, or nil while there is nothing to register.
func NewRegistrar(cfg Config, report func() *controlpb.BackendServer) *Registrar {
	return &Registrar{
		cfg: cfg.withDefaults(), report: report, startedMS: time.Now().UnixMilli(), notify: make(chan struct{}, 1),
	}
}

// Notify sends a report at once: the backend server is ready, leaves or changed otherwise.
func (r *Registrar) Notify() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// Directive returns the newest directive of the control group, nil before the first.
func (r *Registrar) Directive() *controlpb.AgentDirective { return r.directive.Load() }

// OnDirective calls f for each directive. It must be set before Run, and f must not block.
func (r *Registrar) OnDirective(f func(*controlpb.AgentDirective)) { r.onOrder = f }

// Run registers and renews until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	if len(r.cfg.Control) == 0 {
		return errors.NotValidf("empty list of control members")
	}
	backoff := minBackoff
	for i := r.cfg.firstMember(); ; i++ {
		address := r.cfg.Control[i%len(r.cfg.Control)]
		registered, err := r.session(ctx, address)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r.cfg.Logger.Info("leaving control member", "address", address, "error", err)
		if registered {
			backoff = minBackoff
		}
		if !pause(ctx, backoff) {
			return ctx.Err()
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// session reports to one member until it goes away or falls silent.
func (r *Registrar) session(ctx context.Context, address string) (registered bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := rpcpool.Connect(ctx, r.cfg.Dial, address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	defer func() { _ = conn.Transport().Close() }()

	reports := make(chan *controlpb.AgentReport, 1)
	directives := make(chan *controlpb.AgentDirective)
	failed := make(chan error, 1)
	go func() { failed <- register(ctx, controlpb.NewDRPCControlClient(conn), reports, directives) }()
	return r.loop(ctx, reports, directives, failed)
}

func register(ctx context.Context, rpc controlpb.DRPCControlClient, reports <-chan *controlpb.AgentReport, directives chan<- *controlpb.AgentDirective) error {
	stream, err := rpc.Register(ctx)
	if err != nil {
		return errors.Annotate(err, "open registration")
	}
	go func() {
		for {
			select {
			case report := <-reports:
				if stream.Send(report) != nil {
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		d, err := stream.Recv()
		if err != nil {
			return errors.Annotate(err, "registration")
		}
		select {
		case directives <- d:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Registrar) loop(ctx context.Context, reports chan *controlpb.AgentReport, directives <-chan *controlpb.AgentDirective, failed <-chan error) (bool, error) {
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	watchdog := time.NewTicker(r.cfg.SilenceLimit / 5)
	defer watchdog.Stop()
	heard, registered := time.Now(), false
	r.send(reports)
	for {
		select {
		case <-ctx.Done():
			return registered, ctx.Err()
		case err := <-failed:
			return registered, err
		case <-renew.C:
			r.send(reports)
		case <-r.notify:
			r.send(reports)
		case <-watchdog.C:
			if time.Since(heard) >= r.cfg.SilenceLimit {
				return registered, errors.Timeoutf("silence of the control member")
			}
		case d := <-directives:
			heard, registered = time.Now(), true
			r.take(d)
		}
	}
}

// send queues the newest report in place of one that waits.
func (r *Registrar) send(reports chan *controlpb.AgentReport) {
	backend := r.report()
	if backend != nil {
		r.sequence++
		backend.StartedMs, backend.Sequence = r.startedMS, r.sequence
	}
	select {
	case <-reports:
	default:
	}
	reports <- &controlpb.AgentReport{Backend: backend}
}

func (r *Registrar) take(d *controlpb.AgentDirective) {
	r.directive.Store(d)
	if r.onOrder != nil {
		r.onOrder(d)
	}
}
