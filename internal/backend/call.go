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

// client sends requests to one backend server.
type client struct {
	base string
	http *http.Client
}

func newClient(base string, t *http.Transport) client {
	return client{
		base: strings.TrimSuffix(base, "/"),
		http: &http.Client{
			Transport:     t,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// send sends one request, once. The error says whether anything had left.
func (c client) send(ctx context.Context, method, path string, headers []Header, body []byte) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, onceReader(body))
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: "invalid_request", Message: "request cannot be sent", Cause: err}
	}
	req.ContentLength = int64(len(body))
	for _, h := range headers {
		req.Header.Add(h.Name, h.Value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, failure(sent.Load(), codeUnreachable, err)
	}
	return resp, nil
}

// onceReader returns a body that the transport cannot rewind and send again.
func onceReader(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// copyBody hands the body of an answer to sink in chunks.
func copyBody(body io.Reader, sink Sink, alive func()) error {
	buf := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buf)
		alive()
		if n > 0 {
			if err := sink.Data(buf[:n], 0); err != nil {
				return errors.Wrap(err, ErrSink)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return failure(true, codeCut, err)
		}
	}
}

// hasEnd reports whether the length of an answer can be checked.
func hasEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.ProtoMajor >= 2
}

func errNoLength() error {
	return verdict.New(verdict.MayHaveRun, "answer_without_length", "answer of the backend server has neither length nor chunks")
}

// forwarded are the headers of a caller that a backend server may see.
var forwarded = map[string]bool{
	"Accept": true, "Accept-Language": true, "Content-Type": true, "Content-Language": true, "Idempotency-Key": true,
	"If-Match": true, "If-None-Match": true, "Traceparent": true, "Tracestate": true, "User-Agent": true,
}

// MayForward reports whether the header of that name may go to a backend server. Keys and cookies never do.
func MayForward(name string) bool { return forwarded[http.CanonicalHeaderKey(name)] }
