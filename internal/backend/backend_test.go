package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// collector is a Sink that records the answer.
type collector struct {
	status int
	body   strings.Builder
	tokens int
}

func (c *collector) Head(status int, _ []Header) error { c.status = status; return nil }

func (c *collector) Data(data []byte, tokens int) error {
	c.body.Write(data)
	c.tokens += tokens
	return nil
}

// engineSending returns a client of an engine that answers with text, repeated forever if endless.
func engineSending(t *testing.T, text string, endless bool) *Engine {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		for {
			if _, err := io.WriteString(w, text); err != nil || !endless {
				return
			}
		}
	}))
	t.Cleanup(s.Close)
	e := NewEngine(Config{URL: s.URL, MaxEventBytes: 64 << 10})
	t.Cleanup(e.Close)
	return e
}

// TestEngineStreams checks the client with valid and invalid event streams.
func TestEngineStreams(t *testing.T) {
	const done = "data: [DONE]\n\n"
	tests := []struct {
		name, stream string
		endless      bool
		want         string // body; if fails, the part before the failure
		tokens       int
		fails        bool
	}{
		{name: "plain", stream: "data: {\"a\":1}\n\n" + done, want: "data: {\"a\":1}\n\n" + done, tokens: 1},
		{name: "no space", stream: "data:{\"a\":1}\n\n" + done, want: "data: {\"a\":1}\n\n" + done, tokens: 1},
		{name: "CRLF", stream: "data: {\"a\":1}\r\n\r\ndata: [DONE]\r\n\r\n", want: "data: {\"a\":1}\n\n" + done, tokens: 1},
		{name: "comment", stream: ": ping\n\ndata: {}\n\n" + done, want: "data: {}\n\n" + done, tokens: 1},
		{name: "several lines", stream: "data: {\ndata: }\n\n" + done, want: "data: {\ndata: }\n\n" + done, tokens: 1},
		{name: "usage only", stream: "data: {\"choices\":[],\"usage\":{\"completion_tokens\":7}}\n\n" + done, want: "data: {\"choices\":[],\"usage\":{\"completion_tokens\":7}}\n\n" + done},
		{name: "events after [DONE]", stream: "data: {}\n\n" + done + "data: {}\n\n", want: "data: {}\n\n" + done, tokens: 1},
		{name: "empty stream", stream: "", fails: true},
		{name: "no [DONE] event", stream: "data: {}\n\n", want: "data: {}\n\n", tokens: 1, fails: true},
		{name: "[DONE] event truncated", stream: "data: {}\n\ndata: [DONE]", want: "data: {}\n\n", tokens: 1, fails: true},
		{name: "not JSON", stream: "data: oops\n\n" + done, fails: true},
		{name: "JSON but not an object", stream: "data: [1]\n\n" + done, fails: true},
		{name: "truncated object", stream: "data: {\"a\":\n\n" + done, fails: true},
		{name: "endless line", stream: strings.Repeat("x", 1<<10), endless: true, fails: true},
		{name: "endless event of short lines", stream: "data: x\n", endless: true, fails: true},
		{name: "endless comments", stream: ": x\n", endless: true, fails: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c collector
			req := &Request{ID: "r1", Method: "POST", Path: "/", Stream: true}
			_, err := engineSending(t, tt.stream, tt.endless).Do(context.Background(), req, &c)
			if (err != nil) != tt.fails || (err != nil && verdict.Of(err) != verdict.MayHaveRun) {
				t.Errorf("got error %v, want one with verdict may_have_run if the case fails, else none", err)
			}
			if c.body.String() != tt.want || c.tokens != tt.tokens {
				t.Errorf("got %d tokens in %q, want %d in %q", c.tokens, c.body.String(), tt.tokens, tt.want)
			}
		})
	}
}

// TestUsage checks the usage extracted from a stream and from an unstreamed answer.
func TestUsage(t *testing.T) {
	const usage = `"usage": {"prompt_tokens":5,"completion_tokens":7,"prompt_tokens_details":{"cached_tokens":3}}`
	var c collector
	stream := "data: {\"choices\":[{}],\"usage\":null}\n\ndata: {\"choices\":[]," + usage + "}\n\ndata: [DONE]\n\n"
	got, err := engineSending(t, stream, false).Do(context.Background(), &Request{Method: "POST", Path: "/", Stream: true}, &c)
	if want := (Usage{Prompt: 5, Cached: 3, Output: 7, Reported: true}); err != nil || got != want {
		t.Errorf("stream: got usage %+v, error %v; want {Prompt:5 Cached:3 Output:7 Reported:true}, no error", got, err)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "{"+usage+"}") }))
	defer s.Close()
	e := NewEngine(Config{URL: s.URL})
	defer e.Close()
	got, err = e.Do(context.Background(), &Request{Method: "POST", Path: "/"}, &c)
	if want := (Usage{Prompt: 5, Cached: 3, Output: 7, Reported: true}); err != nil || got != want {
		t.Errorf("unstreamed: got usage %+v, error %v; want {Prompt:5 Cached:3 Output:7 Reported:true}, no error", got, err)
	}
}

// TestVerdictOfFailures checks that the verdict is NotRun only if the request was never sent.
func TestVerdictOfFailures(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	tests := []struct {
		name, url string
		want      verdict.Verdict
	}{
		{"connection refused", closed.URL, verdict.NotRun},
		{"closed after reading", aborting.URL, verdict.MayHaveRun},
	}
	for _, tt := range tests {
		for _, b := range []Backend{NewEngine(Config{URL: tt.url}), NewService(Config{URL: tt.url})} {
			_, err := b.Do(context.Background(), &Request{Method: "POST", Path: "/", Body: []byte("x")}, &collector{})
			if err == nil || verdict.Of(err) != tt.want {
				t.Errorf("%s, %T: %v with verdict %v, want %v", tt.name, b, err, verdict.Of(err), tt.want)
			}
			b.Close()
		}
	}
}

// TestResumeOfUnknownRequest closes the first connection before the answer, and the engine then answers the resume with
// 404. That response must not be passed on as the answer to the request.
func TestResumeOfUnknownRequest(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
		http.NotFound(w, r)
	}))
	defer s.Close()
	e := NewEngine(Config{URL: s.URL, Resumable: true})
	defer e.Close()
	var c collector
	_, err := e.Do(context.Background(), &Request{ID: "r1", Method: "POST", Path: "/", Stream: true}, &c)
	if err == nil || verdict.Of(err) != verdict.MayHaveRun || c.status != 0 {
		t.Errorf("got status %d, error %v; want status 0, an error with verdict may_have_run", c.status, err)
	}
}

// TestRequestIsNotResentOnReusedConnection guards against a request that reaches the engine twice: the engine reads it on a reused
// connection and closes that without an answer, for which net/http repeats what it takes for idempotent.
func TestRequestIsNotResentOnReusedConnection(t *testing.T) {
	cases := map[string]Request{
		"GET":                              {Method: http.MethodGet, Path: "/x"},
		"POST without a body, with a key":  {Method: http.MethodPost, Path: "/x", Headers: []Header{{"Idempotency-Key", "k"}}},
		"POST with a body and a key":       {Method: http.MethodPost, Path: "/x", Headers: []Header{{"Idempotency-Key", "k"}}, Body: []byte("b")},
		"POST without a body, without key": {Method: http.MethodPost, Path: "/x"},
	}
	for name, r := range cases {
		t.Run(name, func(t *testing.T) {
			var arrivals atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(headerRequestID) == "first" {
					fmt.Fprint(w, "{}")
					return
				}
				arrivals.Add(1)
				panic(http.ErrAbortHandler) // closes the connection
			}))
			defer s.Close()
			e := NewEngine(Config{URL: s.URL})
			defer e.Close()
			first := r
			first.ID = "first"
			if _, err := e.Do(t.Context(), &first, &collector{}); err != nil {
				t.Fatal(err)
			}
			r.ID = "second"
			_, err := e.Do(t.Context(), &r, &collector{})
			if err == nil || verdict.Of(err) != verdict.MayHaveRun {
				t.Errorf("error %v, want one that says that the request may have run", err)
			}
			if n := arrivals.Load(); n != 1 {
				t.Errorf("the request reached the engine %d times, want once", n)
			}
		})
	}
}
