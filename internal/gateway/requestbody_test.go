package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/requestmemory"
)

// TestSlowBodyIsAnswered guards against callers that get no answer to a request whose body was refused while it was read: net/http takes the
// end of such a read for the caller's end.
func TestSlowBodyIsAnswered(t *testing.T) {
	b := newFixture(t)
	cfg := requestmemory.DefaultConfig()
	cfg.MinRate, cfg.Grace = 1<<20, 50*time.Millisecond
	b.gw.cfg.Memory = requestmemory.New(cfg)
	conn, reader := dialGateway(t, b.http.Listener.Addr().String())
	if _, err := io.WriteString(conn, plainHead("1")+"Content-Length: 100\r\n\r\nbegin"); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("got %v, want an answer", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusRequestTimeout || res.Header.Get(headerVerdict) != "not_run" {
		t.Errorf("got status %d, verdict %q; want 408, not_run", res.StatusCode, res.Header.Get(headerVerdict))
	}
}
