package backend

import (
	"context"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

// Service is the client of a plain service. Every call opens a new connection, so that the transport never retries one.
type Service struct {
	cfg    Config
	client client
}

// NewService returns a client of the service at cfg.URL.
func NewService(cfg Config) *Service {
	cfg = cfg.withDefaults()
	return &Service{cfg: cfg, client: newClient(cfg.URL, newTransport(cfg))}
}

// Do runs r.
func (s *Service) Do(ctx context.Context, r *Request, sink Sink) (Usage, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(s.cfg.StallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()

	resp, err := s.client.send(ctx, r.Method, r.Path, r.Headers, r.Body)
	if err != nil {
		return Usage{}, withCause(ctx, err)
	}
	defer resp.Body.Close()
	if !hasVerifiableLength(resp) {
		return Usage{}, errNoLength()
	}
	if err := sink.Head(resp.StatusCode, answerHeaders(resp.Header)); err != nil {
		return Usage{}, errors.Wrap(err, ErrSink)
	}
	err = copyBody(resp.Body, sink, func() { stall.Reset(s.cfg.StallTimeout) })
	return Usage{}, withCause(ctx, err)
}

var errStalled = errors.New("backend server sent nothing for the stall timeout")

// withCause sets the cause of the cancellation of ctx, if any, as the cause of err.
func withCause(ctx context.Context, err error) error {
	var e *verdict.Error
	if cause := context.Cause(ctx); err != nil && cause != nil && errors.As(err, &e) {
		e.Cause = cause
	}
	return err
}

// Cancel does nothing: a call of a service cannot be cancelled.
func (s *Service) Cancel(context.Context, string) error { return nil }

// Running returns nil: a service does not list its running calls.
func (s *Service) Running(context.Context, string) ([]Running, error) { return nil, nil }

// Load checks that the service accepts connections. The returned Load is empty, because a service does not report any.
func (s *Service) Load(ctx context.Context) (Load, error) {
	u, err := url.Parse(s.cfg.URL)
	if err != nil {
		return Load{}, errors.Annotate(err, "parse the URL of the service")
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.DialTimeout)
	defer cancel()
	conn, err := s.cfg.Dial(ctx, "tcp", u.Host)
	if err != nil {
		return Load{}, errors.Annotate(err, "dial the service")
	}
	return Load{}, errors.Trace(conn.Close())
}

// Order returns a NotSupported error.
func (s *Service) Order(context.Context, Order) error {
	return errors.NotSupportedf("orders to a plain service")
}

// Resumable returns false: answers of a service cannot be resumed.
func (s *Service) Resumable() bool { return false }

// Close closes idle connections.
func (s *Service) Close() { s.client.http.CloseIdleConnections() }
