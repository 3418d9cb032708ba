package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

// client sends HTTP requests to one backend server. It does not follow redirects.
type client struct {
	base string
	http *http.Client
}

func newClient(base string, t http.RoundTripper) client {
	return client{
		base: strings.TrimSuffix(base, "/"),
		http: &http.Client{
			Transport:     t,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// send sends a request once. The verdict of an error is NotRun if the request got no connection, so that nothing was
// sent.
func (c client) send(ctx context.Context, method, path string, headers []Header, body []byte) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, nonRewindable(body))
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: "invalid_request", Message: "request is invalid", Cause: err}
	}
	req.ContentLength = int64(len(body))
	for _, h := range headers {
		req.Header.Add(h.Name, h.Value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, newFailure(sent.Load(), codeUnreachable, err)
	}
	return resp, nil
}

// nonRewindable returns a reader for body that the transport cannot rewind, so that it cannot retry the request.
func nonRewindable(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// copyBody writes body to sink in chunks, and calls resetTimeout after each read.
func copyBody(body io.Reader, sink Sink, resetTimeout func()) error {
	buf := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buf)
		resetTimeout()
		if n > 0 {
			if err := sink.Data(buf[:n], 0); err != nil {
				return errors.Wrap(err, ErrSink)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return newFailure(true, codeTruncated, err)
		}
	}
}

// hasVerifiableLength reports whether a truncated answer would be detected: by its length, chunked encoding or HTTP/2.
func hasVerifiableLength(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.ProtoMajor >= 2
}

func errNoLength() error {
	return verdict.New(verdict.MayHaveRun, "answer_without_length", "answer of the backend server has neither a Content-Length nor chunked encoding")
}

// forwardedHeaders are the headers of a caller that are forwarded to backend servers.
var forwardedHeaders = map[string]bool{
	"Accept": true, "Accept-Language": true, "Content-Type": true, "Content-Language": true, "Idempotency-Key": true,
	"If-Match": true, "If-None-Match": true, "Traceparent": true, "Tracestate": true, "User-Agent": true,
}

// MayForward reports whether a caller's header may be forwarded to a backend server. API keys and cookies never are.
func MayForward(name string) bool { return forwardedHeaders[http.CanonicalHeaderKey(name)] }
