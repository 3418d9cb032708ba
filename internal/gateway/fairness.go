package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/fairqueue"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// Names of the metrics of fair shares, by service.
const (
	metricHeld       = "gateway_held_requests"     // requests that were held
	metricHeldTime   = "gateway_held_us"           // how long they were held
	metricHeldRefuse = "gateway_held_refusals"     // requests that the queue refused, also by reason
	metricLimit      = "gateway_concurrency_limit" // requests in flight allowed; 0: the service is not contended
)

// Log messages of fair shares. Those of a request are steps of it, whose number per second is bounded.
const (
	eventHeld         = "request held"
	eventReleased     = "request released"
	eventQueueRefused = "request refused by the fair queue"
)

// reasonCallerGone is the value of the label reason of requests whose caller disconnected, or whose deadline passed, while they were
// held.
const reasonCallerGone = "left"

// fairness holds the requests for contended plain services, so that organisations get fair shares of them. A nil *fairness holds
// nothing. It is safe for concurrent use.
type fairness struct {
	server *Server

	mu       sync.Mutex
	services map[string]*fairService
}

// fairService is the queue of one service.
type fairService struct {
	fairness *fairness
	name     string

	mu        sync.Mutex
	queue     *fairqueue.Queue
	places    map[*fairqueue.Ticket]*place // of the requests that are held
	timer     *time.Timer                  // polls the queue
	contended bool                         // as last logged
	limit     int64                        // as last exported
}

// place is the place of one attempt at a service, from its entry into the queue to the server's answer. A nil *place is that of an
// attempt to which fair shares do not apply.
type place struct {
	service *fairService
	ticket  *fairqueue.Ticket
	decided chan struct{} // is closed when the held request is released or refused
}

func newFairness(s *Server) *fairness {
	if !s.cfg.FairShares {
		return nil
	}
	return &fairness{server: s, services: make(map[string]*fairService)}
}

// applies reports whether x is a request for a plain service: one without an engine whose answers are not streams.
func (f *fairness) applies(x *exchange) bool {
	if f == nil || x.isStream() {
		return false
	}
	service := x.catalog.Service(x.service)
	return service != nil && service.Engine == nil
}

// isContended reports whether fair shares apply to x and its service is contended.
func (f *fairness) isContended(x *exchange) bool {
	if !f.applies(x) {
		return false
	}
	s := f.service(x.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Status().IsContended
}

// service returns the queue of a service, which it creates if necessary.
func (f *fairness) service(name string) *fairService {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		s = &fairService{fairness: f, name: name, queue: fairqueue.New(fairqueue.Config{}), places: make(map[*fairqueue.Ticket]*place)}
		s.timer = time.AfterFunc(time.Hour, s.poll)
		s.timer.Stop()
		f.services[name] = s
	}
	return s
}

// enter waits until x may be sent. It returns a refusal if x may not be sent in time, its caller disconnects, its deadline passes or the
// gateway shuts down.
func (f *fairness) enter(ctx context.Context, x *exchange, t *attempts) (*place, *refusal) {
	if !f.applies(x) {
		return nil, nil
	}
	s := f.service(x.service)
	p := &place{service: s, decided: make(chan struct{})}
	state, standing := s.enter(p, fairRequest(x, t))
	switch state {
	case fairqueue.Sent:
		return p, nil
	case fairqueue.Refused:
		return nil, f.refusal(x, p, standing, 0)
	}
	began := time.Now()
	f.count(metricHeld, s.name)
	f.server.logStep(x, eventHeld, append(standing.attrs(), slog.Int("rank", x.rank), slog.Bool("retry", p.ticket.IsRetry))...)
	select {
	case <-p.decided:
	case <-ctx.Done():
	}
	standing = s.leave(p, errors.Is(context.Cause(ctx), errShutdown))
	held := time.Since(began)
	if m := f.server.cfg.Metrics; m != nil {
		m.Observe(metricHeldTime, held, telemetry.Label{Name: "service", Value: s.name})
	}
	switch {
	case p.ticket.State == fairqueue.Refused:
		return nil, f.refusal(x, p, standing, held)
	case ctx.Err() != nil:
		p.end()
		f.count(metricHeldRefuse, s.name, telemetry.Label{Name: "reason", Value: reasonCallerGone})
		return nil, notRun(http.StatusServiceUnavailable, "deadline_exceeded", "the deadline passed while the request waited for a contended service")
	}
	f.server.logStep(x, eventReleased, slog.Int64("held_ms", held.Milliseconds()))
	return p, nil
}

// fairRequest returns the attributes of x on which the queue decides. An attempt after another one is a retry.
func fairRequest(x *exchange, t *attempts) fairqueue.Request {
	return fairqueue.Request{
		Rank: x.rank, Organisation: x.organisation, Bytes: len(x.body), Arrived: x.arrived, Target: x.route.LatencyTarget,
		Deadline: x.deadline, IsRetry: len(t.exclude) > 0,
	}
}

// standing is the state of a queue and of an organisation at a decision.
type standing struct {
	fairqueue.Status
	fairqueue.Standing
	expected time.Duration // wait when the request entered or was refused
}

// attrs returns the log attributes that tell why a request was held or refused.
func (s standing) attrs() []slog.Attr {
	return []slog.Attr{
		slog.Float64("use_per_s", round(s.UsePerSecond)), slog.Float64("asked_per_s", round(s.AskedPerSecond)),
		slog.Float64("share_per_s", round(s.SharePerSecond)), slog.Int("organisation_waiting", s.Standing.Waiting),
		slog.Int("waiting", s.Status.Waiting), slog.Int("in_flight", s.InFlight), slog.Float64("limit", round(s.Limit)),
		slog.Int64("service_ms", s.ServiceTime.Milliseconds()), slog.Int64("expected_ms", s.expected.Milliseconds()),
	}
}

// round rounds a figure of a log line to hundredths.
func round(v float64) float64 { return float64(int64(v*100+0.5)) / 100 }

// refusal logs and counts that the queue refused x, and returns the refusal.
func (f *fairness) refusal(x *exchange, p *place, st standing, held time.Duration) *refusal {
	reason := string(p.ticket.Reason)
	f.count(metricHeldRefuse, p.service.name, telemetry.Label{Name: "reason", Value: reason})
	f.server.logStep(x, eventQueueRefused, append(st.attrs(), slog.String("reason", reason), slog.Int("rank", x.rank),
		slog.String(telemetry.KeyOrganisation, x.organisation), slog.Int64("held_ms", held.Milliseconds()),
		slog.Int64("retry_after_ms", p.ticket.RetryAfter.Milliseconds()))...)
	if p.ticket.Reason == fairqueue.ReasonShuttingDown {
		return shuttingDown()
	}
	ref := notRun(http.StatusServiceUnavailable, "service_contended", "the service is contended: "+reason)
	ref.retryAfter = p.ticket.RetryAfter
	return ref
}

// count adds 1 to a counter of a service.
func (f *fairness) count(name, service string, labels ...telemetry.Label) {
	if m := f.server.cfg.Metrics; m != nil {
		m.Counter(name, append(labels, telemetry.Label{Name: "service", Value: service})...).Inc(1)
	}
}

// enter enters p into the queue and returns its state, and the standing unless the request may be sent at once.
func (s *fairService) enter(p *place, r fairqueue.Request) (fairqueue.State, standing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	decided := s.queue.Enter(now, r, rand.Float64())
	p.ticket = decided[0]
	if p.ticket.State == fairqueue.Waiting {
		s.places[p.ticket] = p
	}
	s.apply(now, decided[1:])
	if p.ticket.State == fairqueue.Sent {
		return fairqueue.Sent, standing{}
	}
	return p.ticket.State, s.standing(now, p)
}

// leave ends the wait of p, which was decided on or whose request has ended. Requests that are held at a shutdown are refused.
func (s *fairService) leave(p *place, isShutdown bool) standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if isShutdown {
		s.apply(now, s.queue.Close(now))
	}
	s.queue.Leave(p.ticket)
	delete(s.places, p.ticket)
	s.apply(now, nil)
	if p.ticket.State != fairqueue.Refused {
		return standing{}
	}
	return s.standing(now, p)
}

// standing returns the standing of the request's organisation. mu must be held.
func (s *fairService) standing(now time.Time, p *place) standing {
	return standing{Status: s.queue.Status(), Standing: s.queue.Standing(now, p.ticket), expected: p.ticket.Expected}
}

// poll applies what the queue decides because of the time.
func (s *fairService) poll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(time.Now(), nil)
}

// apply ends the waits of the requests that were decided on, and sets the timer. mu must be held.
func (s *fairService) apply(now time.Time, decided []*fairqueue.Ticket) {
	for _, t := range append(decided, s.queue.Poll(now)...) {
		if p := s.places[t]; p != nil {
			delete(s.places, t)
			close(p.decided)
		}
	}
	if next := s.queue.NextPoll(now); !next.IsZero() {
		s.timer.Reset(max(time.Millisecond, next.Sub(now)))
	}
	s.observe()
}

// observe logs when the service begins or ceases to be contended, and updates the gauge of its limit. mu must be held.
func (s *fairService) observe() {
	status := s.queue.Status()
	if m := s.fairness.server.cfg.Metrics; m != nil && s.limit != int64(status.Limit) {
		s.limit = int64(status.Limit)
		m.Gauge(metricLimit, telemetry.Label{Name: "service", Value: s.name}).Update(s.limit)
	}
	if status.IsContended == s.contended {
		return
	}
	s.contended = status.IsContended
	s.fairness.server.cfg.Logger.Info("service contention changed", "service", s.name, "contended", status.IsContended, "limit", round(status.Limit),
		"in_flight", status.InFlight, "service_ms", status.ServiceTime.Milliseconds())
}

// observe records the answer of the server to which the request of p was sent. The place is free from then on: the server has sent the
// answer, even if the caller reads it slowly.
func (p *place) observe(server string, reply Reply) {
	if p == nil {
		return
	}
	result := fairqueue.Answered
	switch {
	case reply.Misdirected:
		result = fairqueue.Unanswered
	case reply.NotRun:
		result = fairqueue.Rejected
	}
	p.finish(result, server, fairLoad(reply.Load))
}

func fairLoad(l Load) fairqueue.Load {
	return fairqueue.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots}
}

// end frees the place of a request that got no answer.
func (p *place) end() {
	if p != nil {
		p.finish(fairqueue.Unanswered, "", fairqueue.Load{})
	}
}

func (p *place) finish(result fairqueue.Result, server string, load fairqueue.Load) {
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.ticket.State != fairqueue.Sent {
		return
	}
	now := time.Now()
	s.queue.End(now, p.ticket, result, server, load)
	s.apply(now, nil)
}

// limitRetryAfter sets the Retry-After of a request that servers rejected and that is not sent again, unless it has one.
func (p *place) limitRetryAfter(ref *refusal) {
	if p == nil || ref == nil || ref.code != "backend_full" || ref.retryAfter > 0 {
		return
	}
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	ref.retryAfter = p.service.queue.RetryAfter(time.Now(), p.ticket)
}
