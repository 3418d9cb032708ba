// Package backend holds the clients of backend servers: model engines and plain services.
//
// A Backend carries out one request at one backend server and hands the answer to a Sink piece by piece. It never
// repeats a request. Errors carry a verdict: NotRun only when no byte of the request left this process.
package backend

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

// Header is one header field.
type Header struct {
	Name, Value string
}

// Request is one request for a backend server.
type Request struct {
	ID         string // names the work at the backend server
	Owner      string // the agent and its incarnation
	Method     string
	Path       string // path and query
	Headers    []Header
	Body       []byte
	Priority   int // 0 is the highest
	Stream     bool
	Repeatable bool
	From       int // pieces that the sink has already: go on after them
}

// Sink takes an answer. Its methods block while the receiver lags; an error ends the request.
type Sink interface {
	Head(status int, headers []Header) error
	// Data takes one piece of the body with its number of output tokens. It copies data.
	Data(data []byte, tokens int) error
}

// Usage is what an answer took.
type Usage struct {
	Prompt, Cached, Output uint64
	Reported               bool // by the backend server
}

// Running is one request that a backend server is working on.
type Running struct {
	ID    string `json:"id"`
	Owner string `json:"owner"`
}

// Load is what a backend server reports of itself, late.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Order is an order to a model engine.
type Order struct {
	ID      string `json:"id"`
	Fencing uint64 `json:"fencing"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Backend is one backend server.
type Backend interface {
	// Do carries out r. It returns once the answer is complete, or with an error.
	Do(ctx context.Context, r *Request, sink Sink) (Usage, error)
	// Cancel ends the work on a request, where the backend server can.
	Cancel(ctx context.Context, id string) error
	// Running lists the work of an owner, by the beginning of its name; nil where the backend server cannot tell.
	Running(ctx context.Context, owner string) ([]Running, error)
	// Load returns the load that the backend server reports; it fails when the backend server is out of reach.
	Load(ctx context.Context) (Load, error)
	// Order gives an order.
	Order(ctx context.Context, o Order) error
	// Resumable reports whether Do can go on from Request.From.
	Resumable() bool
	// Close drops idle connections.
	Close()
}

// Config holds the settings of a Backend. Zero durations take their defaults.
type Config struct {
	URL           string
	Resumable     bool          // an engine that resumes streams
	SilentAfter   time.Duration // a stream that brought nothing for so long is resumed on a new connection
	StallTimeout  time.Duration // a stream that brought nothing for so long is given up
	DialTimeout   time.Duration
	MaxEventBytes int
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error)
}

const (
	defaultSilentAfter   = 2 * time.Second
	defaultStallTimeout  = 30 * time.Second
	defaultDialTimeout   = 1 * time.Second
	defaultMaxEventBytes = 1 << 20

	// chunkBytes is the size of the pieces of an answer that is no event stream.
	chunkBytes = 16 << 10
	// controlTimeout bounds the small calls: cancel, running, load.
	controlTimeout = 2 * time.Second
	// maxIdleConns bounds the kept connections to one engine.
	maxIdleConns = 256
	// maxHeaderBytes bounds the headers of an answer.
	maxHeaderBytes = 64 << 10
)

func (c Config) withDefaults() Config {
	if c.SilentAfter <= 0 {
		c.SilentAfter = defaultSilentAfter
	}
	if c.StallTimeout <= 0 {
		c.StallTimeout = defaultStallTimeout
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.MaxEventBytes <= 0 {
		c.MaxEventBytes = defaultMaxEventBytes
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	return c
}

// newTransport returns a transport that bounds the dial and, without kept connections, never sends a request twice:
// net/http repeats a request only on a connection that it has used before.
func newTransport(c Config, keepAlive bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
			defer cancel()
			return c.Dial(ctx, network, addr)
		},
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true,
}

// answerHeaders returns the headers of an answer that a caller may see.
func answerHeaders(h http.Header) []Header {
	var list []Header
	for name, values := range h {
		if hopHeaders[name] || name == "Set-Cookie" {
			continue
		}
		for _, v := range values {
			list = append(list, Header{name, v})
		}
	}
	return list
}

const (
	codeCut         = "answer_cut"
	codeUnreachable = "backend_unreachable"
)

// failure returns err with its verdict: NotRun where nothing was sent.
func failure(sent bool, code string, err error) *verdict.Error {
	v := verdict.MayHaveRun
	if !sent {
		v = verdict.NotRun
	}
	return &verdict.Error{Verdict: v, Code: code, Message: "backend server failed", Cause: err}
}

// ErrSink wraps an error of the sink: the receiver ended the request, the backend server did not fail.
var ErrSink = errors.New("answer is not taken any more")
