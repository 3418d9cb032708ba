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
)

const (
	headerRequestID = "X-Request-Id"
	headerOwner     = "X-Request-Owner"
	headerPriority  = "X-Request-Priority"

	// maxStreamResumes bounds the resumes of one stream that bring nothing new.
	maxStreamResumes = 3
	// maxControlBytes bounds the answers to small calls.
	maxControlBytes = 1 << 20
	// doneMark is the data of the last event of a stream.
	doneMark = "[DONE]"
)

// Engine is a model engine with an OpenAI-compatible interface. It answers cancel, resume, running, load and orders.
type Engine struct {
	cfg     Config
	client  client // for requests: kept connections, but a request is never sent twice
	control client // for small calls: a new connection each, for a kept one may be silent
}

// NewEngine returns a client of the engine at cfg.URL.
func NewEngine(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{
		cfg:     cfg,
		client:  newClient(cfg.URL, newTransport(cfg, true)),
		control: newClient(cfg.URL, newTransport(cfg, false)),
	}
}

// Do carries out r. A stream that is cut or falls silent is resumed where the engine can.
func (e *Engine) Do(ctx context.Context, r *Request, sink Sink) (Usage, error) {
	s := &stream{engine: e, request: r, sink: sink, pieces: r.From, headed: r.From > 0}
	var err error
	if r.From > 0 {
		err = s.resume(ctx)
	} else {
		err = s.start(ctx)
	}
	for failures := 0; err != nil && e.mayResume(ctx, r, s, err); {
		before := s.pieces
		err = s.resume(ctx)
		if s.pieces > before {
			failures = 0
		}
		failures++
		if err != nil && failures >= maxStreamResumes {
			break
		}
	}
	return s.usage, err
}

// mayResume reports whether the rest of a stream that failed with err can be asked for.
func (e *Engine) mayResume(ctx context.Context, r *Request, s *stream, err error) bool {
	var broken *brokenError
	return e.cfg.Resumable && r.Stream && !s.failed && ctx.Err() == nil && errors.As(err, &broken)
}

// brokenError says that a connection to the engine broke while the engine may go on.
type brokenError struct{ cause error }

// Error returns the text of the cause.
func (b *brokenError) Error() string {
	if b.cause == nil {
		return "connection to the engine broke"
	}
	return b.cause.Error()
}

// stream is one answer in the making.
type stream struct {
	engine  *Engine
	request *Request
	sink    Sink
	usage   Usage
	pieces  int
	headed  bool
	done    bool
	resumed bool // the request left on an earlier connection
	failed  bool // the engine has answered with an error
}

func (s *stream) start(ctx context.Context) error {
	r := s.request
	headers := append([]Header{
		{headerRequestID, r.ID},
		{headerOwner, r.Owner},
		{headerPriority, strconv.Itoa(r.Priority)},
	}, r.Headers...)
	return s.read(ctx, s.engine.client, r.Method, r.Path, headers, r.Body)
}

func (s *stream) resume(ctx context.Context) error {
	s.resumed = true
	query := url.Values{"id": {s.request.ID}, "from": {strconv.Itoa(s.pieces)}}
	return s.read(ctx, s.engine.control, http.MethodGet, "/resume?"+query.Encode(), nil, nil)
}

// read sends one call and takes its answer.
func (s *stream) read(ctx context.Context, c client, method, path string, headers []Header, body []byte) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := s.silenceLimit()
	silence := time.AfterFunc(limit, func() { cancel(errStalled) })
	defer silence.Stop()

	resp, err := c.send(ctx, method, path, headers, body)
	if err != nil {
		return s.broken(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests ||
		(s.resumed && resp.StatusCode != http.StatusOK) {
		s.failed = true
		return verdict.New(verdict.MayHaveRun, codeEngineRefused, "engine answered %d", resp.StatusCode)
	}
	if !s.headed {
		if err := s.sink.Head(resp.StatusCode, answerHeaders(resp.Header)); err != nil {
			return errors.Wrap(err, ErrSink)
		}
		s.headed = true
	}
	alive := func() { silence.Reset(limit) }
	if isEventStream(resp) {
		return s.broken(ctx, s.events(resp, alive))
	}
	return s.broken(ctx, s.whole(resp, alive))
}

// silenceLimit is the time after which a stream without news is resumed, or given up where it cannot be.
func (s *stream) silenceLimit() time.Duration {
	if s.engine.cfg.Resumable && s.request.Stream {
		return s.engine.cfg.SilentAfter
	}
	return s.engine.cfg.StallTimeout
}

// broken marks errors after which the engine may still be at work on the request.
func (s *stream) broken(ctx context.Context, err error) error {
	var e *verdict.Error
	if !errors.As(err, &e) || (e.Code != codeCut && e.Code != codeUnreachable) {
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
		cause = &brokenError{cause}
	}
	return &verdict.Error{Verdict: v, Code: e.Code, Message: e.Message, Cause: cause}
}

// events passes on the events of a stream up to its last one.
func (s *stream) events(resp *http.Response, alive func()) error {
	if s.done {
		return nil
	}
	budget := &budgetReader{ReadCloser: resp.Body, limit: s.engine.cfg.MaxEventBytes}
	resp.Body = budget
	decoder := ssestream.NewDecoder(resp)
	var buf []byte
	for decoder.Next() {
		alive()
		budget.used = 0
		data := bytes.TrimSuffix(decoder.Event().Data, newline)
		if string(data) == doneMark {
			s.done = true
			return s.put([]byte("data: [DONE]\n\n"), 0)
		}
		tokens, err := s.inspect(data)
		if err != nil {
			return err
		}
		buf = appendEvent(buf[:0], data)
		if err := s.put(buf, tokens); err != nil {
			return err
		}
		s.pieces++
	}
	if err := decoder.Err(); err != nil {
		return failure(true, codeCut, err)
	}
	return verdict.New(verdict.MayHaveRun, codeCut, "stream of the engine ended without its last event")
}

var newline = []byte("\n")

// appendEvent appends the event with the given data, which may have several lines.
func appendEvent(buf, data []byte) []byte {
	for line := range bytes.SplitSeq(data, newline) {
		buf = append(buf, "data: "...)
		buf = append(buf, line...)
		buf = append(buf, '\n')
	}
	return append(buf, '\n')
}

// budgetReader fails once more than limit bytes were read since used was last reset, so that an event has a bound.
type budgetReader struct {
	io.ReadCloser
	limit, used int
}

// Read reads on.
func (r *budgetReader) Read(p []byte) (int, error) {
	if r.used > r.limit {
		return 0, errors.Errorf("event of the engine is longer than %d bytes", r.limit)
	}
	n, err := r.ReadCloser.Read(p)
	r.used += n
	return n, err
}

func (s *stream) put(data []byte, tokens int) error {
	if err := s.sink.Data(data, tokens); err != nil {
		return errors.Wrap(err, ErrSink)
	}
	return nil
}

// whole passes on an answer in one piece.
func (s *stream) whole(resp *http.Response, alive func()) error {
	if !hasEnd(resp) {
		return errNoLength()
	}
	tail := &usageReader{reader: resp.Body}
	if err := copyBody(tail, s.sink, alive); err != nil {
		return err
	}
	s.usage = tail.usage()
	s.done = true
	return nil
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// Cancel ends the work on a request.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	return e.call(ctx, http.MethodPost, "/cancel?"+url.Values{"id": {id}}.Encode(), nil, nil)
}

// Running lists the work of an owner.
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

// codeEngineRefused is the code of errors that the engine itself answered with.
const codeEngineRefused = "engine_refused"

// IsRefusal reports whether the engine answered a small call with an error, in place of not answering.
func IsRefusal(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && v.Code == codeEngineRefused
}

// Order gives an order.
func (e *Engine) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Trace(err)
	}
	return e.call(ctx, http.MethodPost, "/orders", body, nil)
}

// Resumable reports whether streams can be resumed.
func (e *Engine) Resumable() bool { return e.cfg.Resumable }

// Close drops idle connections.
func (e *Engine) Close() {
	e.client.http.CloseIdleConnections()
	e.control.http.CloseIdleConnections()
}

// call makes a small call and decodes its answer into answer, where it is not nil.
func (e *Engine) call(ctx context.Context, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := e.control.send(ctx, method, path, nil, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return errors.Trace(err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return verdict.New(verdict.MayHaveRun, codeEngineRefused, "engine answered %d to %s", resp.StatusCode, path)
	}
	if answer == nil {
		return nil
	}
	return errors.Trace(json.Unmarshal(text, answer))
}
