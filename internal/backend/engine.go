package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/openai/openai-go/v3/packages/ssestream"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/leasecall"
)

const (
	headerRequestID = "X-Request-Id"
	headerOwner     = "X-Request-Owner"
	headerPriority  = "X-Request-Priority"

	// maxStreamResumes bounds the resumes of one stream without progress.
	maxStreamResumes = 3
	// maxControlBytes bounds the responses to control calls.
	maxControlBytes = 1 << 20
	// doneMarker is the data of the last event of a stream.
	doneMarker = "[DONE]"
)

// Engine is the client of a model engine with an OpenAI-compatible API, extended by cancel, resume, running, load and
// orders.
type Engine struct {
	cfg         Config
	client      client
	orderClient client // for orders of the control group; sends nothing after the deadline of the order
}

// NewEngine returns a client of the engine at cfg.URL.
func NewEngine(cfg Config) *Engine {
	orders := cfg
	if orders.Dial == nil {
		orders.Dial, orders.DialTimeout = leasecall.Dial, controlTimeout
	}
	cfg = cfg.withDefaults()
	return &Engine{
		cfg:         cfg,
		client:      newClient(cfg.URL, newTransport(cfg)),
		orderClient: newClient(cfg.URL, newTransport(orders.withDefaults())),
	}
}

// Do runs r. If the engine supports it, a stream that breaks or stalls is resumed.
func (e *Engine) Do(ctx context.Context, r *Request, sink Sink) (Usage, error) {
	s := &stream{engine: e, request: r, sink: sink, events: r.ResumeFrom, headSent: r.ResumeFrom > 0}
	var err error
	if r.ResumeFrom > 0 {
		err = s.resume(ctx)
	} else {
		err = s.start(ctx)
	}
	for failures := 0; err != nil && e.canResume(ctx, r, s, err); {
		before := s.events
		err = s.resume(ctx)
		if s.events > before {
			failures = 0
		}
		failures++
		if err != nil && failures >= maxStreamResumes {
			break
		}
	}
	return s.usage, err
}

// canResume reports whether a stream that failed with err can be resumed.
func (e *Engine) canResume(ctx context.Context, r *Request, s *stream, err error) bool {
	var broken *brokenConnectionError
	return e.cfg.Resumable && r.Stream && !s.failed && ctx.Err() == nil && errors.As(err, &broken)
}

// brokenConnectionError is the cause of a broken connection to the engine, which may still be working on the request.
type brokenConnectionError struct{ cause error }

// Error returns the text of the cause.
func (b *brokenConnectionError) Error() string {
	if b.cause == nil {
		return "connection to the engine was lost"
	}
	return b.cause.Error()
}

// stream is the state of an answer that is being received.
type stream struct {
	engine   *Engine
	request  *Request
	sink     Sink
	usage    Usage
	events   int
	headSent bool
	done     bool
	resumed  bool // the request was sent on an earlier connection
	failed   bool // the engine has answered with an error
}

func (s *stream) start(ctx context.Context) error {
	r := s.request
	headers := append([]Header{
		{headerRequestID, r.ID},
		{headerOwner, r.Owner},
		{headerPriority, strconv.Itoa(r.Priority)},
	}, r.Headers...)
	return s.read(ctx, r.Method, r.Path, headers, r.Body)
}

func (s *stream) resume(ctx context.Context) error {
	s.resumed = true
	query := url.Values{"id": {s.request.ID}, "from": {strconv.Itoa(s.events)}}
	return s.read(ctx, http.MethodGet, "/resume?"+query.Encode(), nil, nil)
}

// read sends one HTTP request and forwards the answer to the sink.
func (s *stream) read(ctx context.Context, method, path string, headers []Header, body []byte) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := s.silenceLimit()
	silence := time.AfterFunc(limit, func() { cancel(errStalled) })
	defer silence.Stop()

	resp, err := s.engine.client.send(ctx, method, path, headers, body)
	if err != nil {
		return s.markBroken(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests ||
		(s.resumed && (resp.StatusCode != http.StatusOK || !isEventStream(resp))) {
		s.failed = true
		return verdict.New(verdict.MayHaveRun, codeEngineRefused, "engine answered with status %d", resp.StatusCode)
	}
	if !s.headSent {
		if err := s.sink.Head(resp.StatusCode, answerHeaders(resp.Header)); err != nil {
			return errors.Wrap(err, ErrSink)
		}
		s.headSent = true
	}
	resetTimeout := func() { silence.Reset(limit) }
	if isEventStream(resp) {
		return s.markBroken(ctx, s.forwardEvents(resp, resetTimeout))
	}
	return s.markBroken(ctx, s.forwardBody(resp, resetTimeout))
}

// silenceLimit returns the time without data after which a stream is resumed, or aborted if it cannot be resumed.
func (s *stream) silenceLimit() time.Duration {
	if s.engine.cfg.Resumable && s.request.Stream {
		return s.engine.cfg.SilenceTimeout
	}
	return s.engine.cfg.StallTimeout
}

// markBroken wraps the cause of a connection error in a brokenConnectionError if the engine may still be working on the
// request. It returns other errors unchanged.
func (s *stream) markBroken(ctx context.Context, err error) error {
	var e *verdict.Error
	if !errors.As(err, &e) || (e.Code != codeTruncated && e.Code != codeUnreachable) {
		return err
	}
	cause := e.Cause
	if why := context.Cause(ctx); why != nil {
		cause = why
	}
	v := e.Verdict
	if s.resumed {
		v = verdict.MayHaveRun
	}
	if v == verdict.MayHaveRun {
		cause = &brokenConnectionError{cause}
	}
	return &verdict.Error{Verdict: v, Code: e.Code, Message: e.Message, Cause: cause}
}

// forwardEvents forwards the events of a stream to the sink, up to the last one.
func (s *stream) forwardEvents(resp *http.Response, resetTimeout func()) error {
	if s.done {
		return nil
	}
	body := &eventLimitReader{ReadCloser: resp.Body, limit: s.engine.cfg.MaxEventBytes}
	resp.Body = body
	decoder := ssestream.NewDecoder(resp)
	var buf []byte
	for decoder.Next() {
		resetTimeout()
		body.used = 0
		data := bytes.TrimSuffix(decoder.Event().Data, newline)
		if string(data) == doneMarker {
			s.done = true
			return s.write([]byte("data: [DONE]\n\n"), 0)
		}
		tokens, err := s.countEvent(data)
		if err != nil {
			return err
		}
		buf = appendEvent(buf[:0], data)
		if err := s.write(buf, tokens); err != nil {
			return err
		}
		s.events++
	}
	if err := decoder.Err(); err != nil {
		return newFailure(true, codeTruncated, err)
	}
	return verdict.New(verdict.MayHaveRun, codeTruncated, "stream of the engine ended without the [DONE] event")
}

var newline = []byte("\n")

// appendEvent appends a server-sent event with the given data, which may have several lines.
func appendEvent(buf, data []byte) []byte {
	for line := range bytes.SplitSeq(data, newline) {
		buf = append(buf, "data: "...)
		buf = append(buf, line...)
		buf = append(buf, '\n')
	}
	return append(buf, '\n')
}

// eventLimitReader bounds the size of an event: it fails once more than limit bytes were read since used was reset.
type eventLimitReader struct {
	io.ReadCloser
	limit, used int
}

// Read reads from the body, or fails beyond the limit.
func (r *eventLimitReader) Read(p []byte) (int, error) {
	if r.used > r.limit {
		return 0, errors.Errorf("event of the engine is longer than %d bytes", r.limit)
	}
	n, err := r.ReadCloser.Read(p)
	r.used += n
	return n, err
}

func (s *stream) write(data []byte, tokens int) error {
	if err := s.sink.Data(data, tokens); err != nil {
		return errors.Wrap(err, ErrSink)
	}
	return nil
}

// forwardBody forwards an answer that is not an event stream, and extracts its usage.
func (s *stream) forwardBody(resp *http.Response, resetTimeout func()) error {
	if !hasVerifiableLength(resp) {
		return errNoLength()
	}
	reader := &usageReader{reader: resp.Body}
	if err := copyBody(reader, s.sink, resetTimeout); err != nil {
		return err
	}
	s.usage = reader.usage()
	s.done = true
	return nil
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// Cancel cancels a run.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	return e.call(ctx, http.MethodPost, "/cancel?"+url.Values{"id": {id}}.Encode(), nil, nil)
}

// Running lists the runs of owners that begin with owner.
func (e *Engine) Running(ctx context.Context, owner string) ([]Running, error) {
	var answer struct {
		Running []Running `json:"running"`
	}
	err := e.call(ctx, http.MethodGet, "/running?"+url.Values{"owner": {owner}}.Encode(), nil, &answer)
	return answer.Running, err
}

// Load returns the load that the engine reports.
func (e *Engine) Load(ctx context.Context) (Load, error) {
	var l Load
	err := e.call(ctx, http.MethodGet, "/load", nil, &l)
	return l, err
}

// codeEngineRefused is the code of errors for HTTP error responses of the engine.
const codeEngineRefused = "engine_refused"

// IsRefusal reports whether the engine answered with an error, as opposed to not answering.
func IsRefusal(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && v.Code == codeEngineRefused
}

// Order sends an order to the engine.
func (e *Engine) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Trace(err)
	}
	return callWith(ctx, e.orderClient, http.MethodPost, "/orders", body, nil)
}

// Resumable reports whether the engine can resume streams.
func (e *Engine) Resumable() bool { return e.cfg.Resumable }

// Close closes idle connections.
func (e *Engine) Close() {
	e.client.http.CloseIdleConnections()
	e.orderClient.http.CloseIdleConnections()
}

// call makes a control call and decodes the JSON response into answer unless that is nil.
func (e *Engine) call(ctx context.Context, method, path string, body []byte, answer any) error {
	return callWith(ctx, e.client, method, path, body, answer)
}

func callWith(ctx context.Context, c client, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := c.send(ctx, method, path, nil, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return errors.Trace(err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return verdict.New(verdict.MayHaveRun, codeEngineRefused, "engine answered with status %d to %s", resp.StatusCode, path)
	}
	if answer == nil {
		return nil
	}
	return errors.Trace(json.Unmarshal(text, answer))
}
