package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/agent"
	"github.com/guavastack/guavastack/internal/responsecheck/responsechecktest"
	"github.com/guavastack/guavastack/internal/standin/engine"
	"github.com/guavastack/guavastack/internal/standin/service"
)

// answering serves the control calls of h, and answers requests of callers with text, after which it ends the connection.
func answering(h http.Handler, text string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/v1/") && !strings.HasPrefix(r.URL.Path, "/services/") {
			h.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	})
}

// checkBrokenAnswer checks that the callers of an engine and of a service that answer with text get a failure that promises nothing.
func checkBrokenAnswer(t *testing.T, text string) {
	t.Helper()
	b := newFixture(t)
	b.dir.setBackends(nil)
	b.backends = nil
	b.startAgent("engine-2", agent.BackendConfig{
		Kind: agent.KindEngine, URL: b.serveRaw(answering(engine.New(engine.Config{Model: "m", TokenInterval: time.Millisecond}), text)), Model: "m", Slots: 4,
	})
	b.startAgent("orders-2", agent.BackendConfig{Kind: agent.KindService, URL: b.serveRaw(answering(service.New(), text)), Model: "orders", Slots: 4})
	for name, c := range map[string]call{"engine": b.chat("3"), "service": b.order("x", "")} {
		a := b.do(c)
		if a.status != http.StatusBadGateway || a.verdict != "may_have_run" || a.readErr != nil {
			t.Errorf("%s: status %d, verdict %q, body %q, error %v; want 502 and may_have_run", name, a.status, a.verdict, a.body, a.readErr)
		}
	}
}

// TestAnswerWithInvalidStatusIsNotRelayed guards against callers that get a status which means nothing, such as 000, or a connection that
// ends without an answer.
func TestAnswerWithInvalidStatusIsNotRelayed(t *testing.T) {
	for _, status := range responsechecktest.InvalidStatuses() {
		t.Run(status, func(t *testing.T) { checkBrokenAnswer(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}") })
	}
}

// TestAnswerWithMalformedFieldIsNotRelayed guards against callers that get another body than the server's, or other headers, since a line of
// the head is no field.
func TestAnswerWithMalformedFieldIsNotRelayed(t *testing.T) {
	for name, field := range responsechecktest.MalformedFields() {
		t.Run(name, func(t *testing.T) {
			checkBrokenAnswer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+field+"\r\n\r\n{}")
		})
	}
}
