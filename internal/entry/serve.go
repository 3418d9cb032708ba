package entry

import (
	"context"
	"encoding/json"
	"log"
	"log/slog"
	"net/http"
	"time"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/meter"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// serveEngine serves the completions and embeddings of the OpenAI API.
func (s *Server) serveEngine(w http.ResponseWriter, r *http.Request) {
	x, ref := s.parseEngineRequest(w, r)
	s.serve(w, r, x, ref)
}

// serveService serves a request to a plain service.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	x, ref := s.parseServiceRequest(w, r)
	s.serve(w, r, x, ref)
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the available models.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	if ref := s.checkReady(false); ref != nil {
		s.refuse(w, id, nil, ref)
		return
	}
	if _, ref := s.authenticate(s.dir.Tree(), r); ref != nil {
		s.refuse(w, id, nil, ref)
		return
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, m := range s.servers.Models() {
		list.Data = append(list.Data, modelInfo{ID: m, Object: "model", OwnedBy: "guavastack"})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestID, id.String())
	w.Header().Set(headerVerdict, verdict.Ran.String())
	_ = json.NewEncoder(w).Encode(list)
}

// serve admits x and runs it, or sends ref if it is not nil.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, x *exchange, ref *refusal) {
	id := newRequestID()
	if ref != nil {
		s.refuse(w, id, x, ref)
		return
	}
	x.id = id
	x.received = time.Now()
	s.demand.recordArrival(x.organisation)
	defer s.demand.recordEnd(x.organisation)
	lease, ref := s.limits.acquire(x, s.dir.Tree().Caps(x.organisation), s.dir.Share(x.organisation))
	if ref != nil {
		s.refuse(w, id, x, ref)
		return
	}
	x.lease = lease
	defer s.limits.release(lease)

	ctx, cancel := exchangeContext(r.Context(), x)
	defer cancel(nil)
	if !s.active.add(x, cancel) {
		s.refuse(w, id, x, refuse(http.StatusServiceUnavailable, "entry_full",
			"the entry has reached its limit of requests in progress of this tier and above"))
		return
	}
	defer s.active.remove(x)
	s.run(ctx, x, newAnswerWriter(w, s.cfg.WriteTimeout))
}

// exchangeContext returns a context that ends at the deadline of the class and, unless the exchange is detached, when the
// caller disconnects.
func exchangeContext(caller context.Context, x *exchange) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	stopCaller := func() bool { return true }
	if !x.detached() {
		stopCaller = context.AfterFunc(caller, func() { cancel(errCallerGone) })
	}
	if x.class.Deadline <= 0 {
		return ctx, func(cause error) { stopCaller(); cancel(cause) }
	}
	limited, stop := context.WithDeadlineCause(ctx, x.received.Add(x.class.Deadline), errDeadline)
	return limited, func(cause error) {
		stopCaller()
		cancel(cause)
		stop()
	}
}

// run dispatches x, completes its answer and records it. If the answer is truncated, it panics with http.ErrAbortHandler to
// break the connection.
func (s *Server) run(ctx context.Context, x *exchange, w *answerWriter) {
	r := s.dispatch(ctx, x, w)
	s.settleClaim(x, r, r.kept)
	s.recordRequest(x, w, r)
	if r.complete {
		w.finish()
		return
	}
	if w.started && w.callerGone {
		return
	}
	w.fail(x.id, r.err)
}

// recordRequest meters and logs the outcome of x.
func (s *Server) recordRequest(x *exchange, w *answerWriter, r result) {
	if (r.complete || w.bytes > 0) && !r.replayed {
		d := meter.Amounts{Requests: 1}
		if r.usage != nil {
			d.PromptTokens = r.usage.PromptTokens
			d.CachedTokens = r.usage.CachedTokens
		}
		if r.complete && r.usage != nil && r.usage.OutputTokens > x.deliveredTokens {
			// An answer that is not streamed reports its tokens only at its end.
			d.OutputTokens = r.usage.OutputTokens - x.deliveredTokens
		}
		s.usage.Add(x.meterKey(), d)
	}
	code := "ok"
	if r.err != nil {
		code = r.err.Code
	}
	s.observe("total_us", time.Since(x.received), x)
	s.countOutcome(x, r.verdict, code)
	s.cfg.Logger.Info("request",
		telemetry.KeyRequestID, x.id.String(),
		telemetry.KeyOrganisation, x.organisation,
		telemetry.KeyClass, x.class.Name,
		telemetry.KeyVerdict, r.verdict.String(),
		"code", code,
		"duration_ms", time.Since(x.received).Milliseconds(),
		"answer_bytes", w.bytes)
}

// refuse answers a request that the entry did not dispatch. x may be nil.
func (s *Server) refuse(w http.ResponseWriter, id requestID, x *exchange, ref *refusal) {
	w.Header().Set(headerRequestID, id.String())
	ref.write(w)
	s.countOutcome(x, ref.Verdict, ref.Code)
	if !s.cfg.Logger.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	args := []any{telemetry.KeyRequestID, id.String(), telemetry.KeyVerdict, ref.Verdict.String(), "code", ref.Code}
	if x != nil {
		args = append(args, telemetry.KeyOrganisation, x.organisation, telemetry.KeyClass, x.class.Name)
	}
	s.cfg.Logger.Info("refused", args...)
}

// observe adds a duration to the named histogram, labelled with the organisation and class of x.
func (s *Server) observe(name string, d time.Duration, x *exchange) {
	s.cfg.Metrics.Observe(name, d, labels(x)...)
}

// count adds one to the named counter, labelled with the organisation and class of x.
func (s *Server) count(name string, x *exchange) { s.cfg.Metrics.Counter(name, labels(x)...).Inc(1) }

func (s *Server) countOutcome(x *exchange, v verdict.Verdict, code string) {
	l := append(labels(x), telemetry.Label{Name: "verdict", Value: v.String()}, telemetry.Label{Name: "code", Value: code})
	s.cfg.Metrics.Counter("requests", l...).Inc(1)
}

func labels(x *exchange) []telemetry.Label {
	if x == nil {
		return nil
	}
	return []telemetry.Label{{Name: "organisation", Value: x.organisation}, {Name: "class", Value: x.class.Name}}
}

// errorLog logs the messages of net/http at debug level, since they concern only callers' connections.
func errorLog(l *slog.Logger) *log.Logger { return slog.NewLogLogger(l.Handler(), slog.LevelDebug) }
