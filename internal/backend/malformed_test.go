package backend

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/responsecheck/responsechecktest"
)

// checkBrokenAnswer checks that no client of a backend server takes text for an answer: nothing of it is passed on, a control call fails, and
// the request may have run.
func checkBrokenAnswer(t *testing.T, s *responsechecktest.Server, text string) {
	t.Helper()
	s.Answer(text)
	for kind, c := range clients(t, "http://"+s.Address) {
		var got collector
		_, err := c.Do(t.Context(), &Request{ID: "r", Method: "POST", Path: "/", Body: []byte("{}"), Stream: true}, &got)
		if err == nil || verdict.Of(err) != verdict.MayHaveRun || got.status != 0 || got.body.Len() > 0 {
			t.Errorf("%s: status %03d, body %q, error %v; want nothing and an error with verdict may_have_run", kind, got.status, got.body.String(), err)
		}
	}
	e := NewEngine(Config{URL: "http://" + s.Address})
	defer e.Close()
	for call, err := range map[string]error{
		"cancel": e.Cancel(t.Context(), "r"),
		"order":  e.Order(t.Context(), Order{ID: "o", Fencing: 1}),
	} {
		if err == nil {
			t.Errorf("%s: no error, want one", call)
		}
	}
	if load, err := e.Load(t.Context()); err == nil {
		t.Errorf("load: got %+v, want an error", load)
	}
	if list, err := e.Running(t.Context(), "owner"); err == nil {
		t.Errorf("running: got %+v, want an error", list)
	}
}

// TestAnswerWithInvalidStatusFails guards against an answer whose status means nothing, such as 000, that is passed on, and against control
// calls that count as done by it.
func TestAnswerWithInvalidStatusFails(t *testing.T) {
	const events = "data: {}\n\ndata: [DONE]\n\n"
	s := responsechecktest.NewServer(t)
	for _, status := range responsechecktest.InvalidStatuses() {
		first := "HTTP/1.1 " + status + " X\r\n"
		for name, text := range map[string]string{
			"with a length":               first + "Content-Length: 2\r\n\r\n{}",
			"in chunks":                   first + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
			"event stream":                first + "Content-Type: text/event-stream\r\n\r\n" + events,
			"behind an informational one": "HTTP/1.1 103 Early Hints\r\n\r\n" + first + "Content-Length: 2\r\n\r\n{}",
		} {
			t.Run(status+" "+name, func(t *testing.T) { checkBrokenAnswer(t, s, text) })
		}
	}
}

// TestAnswerWithMalformedFieldFails guards against an answer with another body than the server's, or other headers, since a line of its head
// is no field.
func TestAnswerWithMalformedFieldFails(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		events = "data: {}\n\ndata: [DONE]\n\n"
	)
	s := responsechecktest.NewServer(t)
	for name, field := range responsechecktest.MalformedFields() {
		line := field + "\r\n"
		for place, text := range map[string]string{
			"first":                      ok + line + "Content-Length: 2\r\n\r\n{}",
			"last":                       ok + "Content-Length: 2\r\n" + line + "\r\n{}",
			"of an event stream":         ok + "Content-Type: text/event-stream\r\n" + line + "\r\n" + events,
			"in an informational answer": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + line + "\r\n" + ok + "Content-Length: 2\r\n\r\n{}",
		} {
			t.Run(name+" "+place, func(t *testing.T) { checkBrokenAnswer(t, s, text) })
		}
	}
}

// TestAnswerWithMalformedTrailerFails guards against an answer that counts as whole although it is not well-formed to its end.
func TestAnswerWithMalformedTrailerFails(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Sum: 1\r\n\r\n"
	for kind, c := range clients(t, rawServer(t, text, "", false)) {
		if _, err := c.Do(t.Context(), &Request{ID: "r", Method: "POST", Path: "/", Body: []byte("{}")}, &discarding{}); err == nil {
			t.Errorf("%s: no error, want one", kind)
		}
	}
	e := NewEngine(Config{URL: rawServer(t, text, "", false)})
	defer e.Close()
	if load, err := e.Load(t.Context()); err == nil {
		t.Errorf("load: got %+v, want an error", load)
	}
}

// TestMalformedRestOfAStreamFails guards against a stream that goes on with an answer to its resume which is not well-formed.
func TestMalformedRestOfAStreamFails(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		event  = "data: {\"a\":1}\n\n"
		events = event + "data: [DONE]\n\n"
	)
	for name, rest := range map[string]string{
		"status 000":                 "HTTP/1.1 000 X\r\nContent-Type: text/event-stream\r\n\r\n" + events,
		"blank in a name":            ok + "X Y: z\r\n\r\n" + events,
		"continued line":             ok + " z\r\n\r\n" + events,
		"in an informational answer": "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + ok + "\r\n" + events,
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				if r.Method == http.MethodPost {
					_, _ = io.WriteString(conn, ok+"\r\n"+event)
					return
				}
				_, _ = io.WriteString(conn, rest)
			}))
			defer s.Close()
			e := NewEngine(Config{URL: s.URL, Resumable: true})
			defer e.Close()
			var c collector
			_, err := e.Do(t.Context(), &Request{ID: "r1", Method: "POST", Path: "/", Stream: true}, &c)
			if err == nil || verdict.Of(err) != verdict.MayHaveRun || c.body.String() != event {
				t.Errorf("body %q, error %v; want %q and an error with verdict may_have_run", c.body.String(), err, event)
			}
		})
	}
}
