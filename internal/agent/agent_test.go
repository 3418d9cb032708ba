package agent

import (
	"strings"
	"testing"

	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/standin/engine"
)

func TestStreamedAnswerOverTCP(t *testing.T) {
	a := startAgent(t, Config{Backend: BackendConfig{Kind: KindEngine, URL: serveHTTP(t, engine.New(engine.Config{})), Model: "standin"}})
	r := newRecorder()
	submit(t, newPool(t, "entry-1", nil), a.Addr().String(), chat("r1", "40"), r)
	o := <-r.done
	if o.end == nil || o.end.Stopped || o.verdict != verdict.Ran {
		t.Fatalf("got outcome %+v, want a complete answer with verdict ran", o)
	}
	if n := strings.Count(o.body, "data: "); n != 41 || !strings.HasSuffix(o.body, "data: [DONE]\n\n") {
		t.Errorf("got %d events in %q, want 41 with [DONE] as the last", n, o.body)
	}
	if o.status != 200 || o.end.Usage.OutputTokens != 40 {
		t.Errorf("got status %d, usage %v; want status 200, 40 output tokens", o.status, o.end.Usage)
	}
}
