// Package backend provides clients for backend servers: model engines and plain services.
//
// A Backend runs a request at its backend server and writes the answer to a Sink in chunks. It never sends a request
// twice. Errors carry a verdict, which is NotRun only if no byte of the request has left this process.
package backend

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/responsecheck"
)

// Header is one header field.
type Header struct {
	Name, Value string
}

// Request is one request to a backend server.
type Request struct {
	ID         string // identifies the run at the backend server
	Owner      string // agent id and incarnation
	Method     string
	Path       string // path and query
	Headers    []Header
	Body       []byte
	Priority   int // 0 is the highest
	Stream     bool
	Repeatable bool
	ResumeFrom int // number of events that the sink has already received; the answer resumes after them
}

// Sink receives an answer. Its methods may block for flow control; an error from them ends the request.
type Sink interface {
	Head(status int, headers []Header) error
	// Data receives one chunk of the body with its number of output tokens. It must not retain data.
	Data(data []byte, tokens int) error
}

// Usage is the token usage of an answer.
type Usage struct {
	Prompt, Cached, Output uint64
	Reported               bool // the numbers were reported by the backend server
}

// Running is one request that a backend server is working on.
type Running struct {
	ID    string `json:"id"`
	Owner string `json:"owner"`
}

// Load is the load that a backend server reports about itself, with some delay.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Order is an administrative order to a model engine.
type Order struct {
	ID      string `json:"id"`
	Fencing uint64 `json:"fencing"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Backend is a client of one backend server.
type Backend interface {
	// Do runs r and writes the answer to sink. It returns nil only if the answer is complete.
	Do(ctx context.Context, r *Request, sink Sink) (Usage, error)
	// Cancel cancels a run, if the backend server supports that.
	Cancel(ctx context.Context, id string) error
	// Running lists the runs of owners that begin with owner, or nil if the backend server does not support that.
	Running(ctx context.Context, owner string) ([]Running, error)
	// Load returns the load that the backend server reports; it fails if the backend server is unreachable.
	Load(ctx context.Context) (Load, error)
	// Order sends an order to the backend server.
	Order(ctx context.Context, o Order) error
	// Resumable reports whether Do can resume an answer at Request.ResumeFrom.
	Resumable() bool
	// Close closes idle connections.
	Close()
}

// Config holds the settings of a Backend. Zero durations take their defaults.
type Config struct {
	URL            string
	Resumable      bool          // the engine can resume streams
	SilenceTimeout time.Duration // a stream that received nothing for so long is resumed on a new connection
	StallTimeout   time.Duration // an answer that received nothing for so long is aborted, if it cannot be resumed
	DialTimeout    time.Duration
	MaxEventBytes  int
	Dial           func(ctx context.Context, network, addr string) (net.Conn, error)
}

const (
	defaultSilenceTimeout = 2 * time.Second
	defaultStallTimeout   = 30 * time.Second
	defaultDialTimeout    = 1 * time.Second
	defaultMaxEventBytes  = 1 << 20

	// chunkBytes bounds the chunks of an answer that is not an event stream.
	chunkBytes = 16 << 10
	// controlTimeout bounds control calls: cancel, running, load and orders.
	controlTimeout = 2 * time.Second
	// maxHeaderBytes bounds the headers of an answer.
	maxHeaderBytes = 64 << 10
)

func (c Config) withDefaults() Config {
	if c.SilenceTimeout <= 0 {
		c.SilenceTimeout = defaultSilenceTimeout
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

// newTransport returns a transport with a dial timeout, which accepts only well-formed answers. It opens a new connection for each request: on
// a reused one net/http may send a request twice, and takes whatever arrives first for the answer, even one that the server repeats.
func newTransport(c Config) *responsecheck.Transport {
	return responsecheck.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
			defer cancel()
			return c.Dial(ctx, network, addr)
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// hopHeaders are the hop-by-hop headers and Content-Length, which are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true,
}

// answerHeaders returns the headers of an answer that are forwarded to the caller.
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
	codeTruncated   = "answer_cut"
	codeUnreachable = "backend_unreachable"
)

// newFailure wraps err with the verdict NotRun if nothing was sent, and MayHaveRun otherwise.
func newFailure(sent bool, code string, err error) *verdict.Error {
	v := verdict.MayHaveRun
	if !sent {
		v = verdict.NotRun
	}
	return &verdict.Error{Verdict: v, Code: code, Message: "backend server failed", Cause: err}
}

// ErrSink wraps an error of the sink: the receiver ended the request, the backend server did not fail.
var ErrSink = errors.New("receiver no longer accepts the answer")
