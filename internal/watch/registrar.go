package watch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
)

// renewInterval is the time between two reports of an agent.
const renewInterval = time.Second

// Registrar keeps a backend server registered with one control member at a time.
type Registrar struct {
	cfg         Config
	report      func() *controlpb.BackendServer
	startedMS   int64
	sequence    uint64
	notify      chan struct{}
	directive   atomic.Pointer[controlpb.AgentDirective]
	onDirective func(*controlpb.AgentDirective)
}

// NewRegistrar returns a registrar for the backend server described by report. report must return a new message at each
// call, or nil while there is nothing to register.
func NewRegistrar(cfg Config, report func() *controlpb.BackendServer) *Registrar {
	return &Registrar{
		cfg: cfg.withDefaults(), report: report, startedMS: time.Now().UnixMilli(), notify: make(chan struct{}, 1),
	}
}

// Notify sends a report immediately. It is to be called after a change of the backend server, for example of its lifecycle.
func (r *Registrar) Notify() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// Directive returns the latest directive of the control group, or nil before the first one.
func (r *Registrar) Directive() *controlpb.AgentDirective { return r.directive.Load() }

// OnDirective makes the registrar call f for each directive. It must be called before Run, and f must not block.
func (r *Registrar) OnDirective(f func(*controlpb.AgentDirective)) { r.onDirective = f }

// Run registers the backend server and renews the registration until ctx ends.
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
		r.cfg.Logger.Info("registration at control member ended", "address", address, "error", err)
		if registered {
			backoff = minBackoff
		}
		if !pause(ctx, backoff) {
			return ctx.Err()
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// session reports to one member until the stream fails or no directive arrives for MemberTimeout. registered is true if
// the member has replied.
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
	watchdog := time.NewTicker(r.cfg.MemberTimeout / 5)
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
			if time.Since(heard) >= r.cfg.MemberTimeout {
				return registered, errors.Timeoutf("directives of the control member")
			}
		case d := <-directives:
			heard, registered = time.Now(), true
			r.handleDirective(d)
		}
	}
}

// send queues a new report, in place of one that is still queued.
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

func (r *Registrar) handleDirective(d *controlpb.AgentDirective) {
	r.directive.Store(d)
	if r.onDirective != nil {
		r.onDirective(d)
	}
}
