package entry

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/claim"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/meter"
	"github.com/guavastack/guavastack/internal/standin/engine"
	"github.com/guavastack/guavastack/internal/standin/service"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// begin starts a stream and returns once its first event has arrived.
func (b *fixture) begin(c call) (*http.Response, *bufio.Reader) {
	b.t.Helper()
	resp := b.start(context.Background(), b.url, c)
	b.t.Cleanup(func() { _ = resp.Body.Close() })
	r := bufio.NewReader(resp.Body)
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "data: ") {
		b.t.Fatalf("got first line %q, error %v, want an event that begins with \"data: \"", line, err)
	}
	return resp, r
}

// checkEndsInError checks that a stream ends in an error event with the given code and does not look complete.
func checkEndsInError(t *testing.T, r io.Reader, code string) {
	t.Helper()
	rest, err := io.ReadAll(r)
	if err == nil {
		t.Error("the connection was closed as after a complete answer")
	}
	if strings.Contains(string(rest), "[DONE]") || !strings.Contains(string(rest), `"code":"`+code+`"`) {
		t.Errorf("stream ends in %q, want an error event with code %s", rest, code)
	}
}

func TestRunningStreamsEndInError(t *testing.T) {
	tests := []struct {
		name  string
		cause func(b *fixture)
		code  string
	}{
		{"key withdrawn", func(b *fixture) {
			b.dir.change(b.t, settings.Command{Op: settings.WithdrawKey, KeyID: b.key.ID})
		}, "key_withdrawn"},
		{"keys no longer confirmed", func(b *fixture) { b.dir.fresh.Store(false) }, "settings_not_fresh"},
		{"engine crashes", func(b *fixture) { b.engine.Crash() }, "answer_cut"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t)
			_, r := b.begin(b.chat("100000"))
			tt.cause(b)
			checkEndsInError(t, r, tt.code)
			waitFor(t, func() bool { return b.entry.active.count() == 0 })
		})
	}
}

func TestWithdrawnKeyIsRefusedOnIdleConnection(t *testing.T) {
	b := newFixture(t)
	if a := b.do(b.chat("1")); a.status != 200 {
		t.Fatalf("got status %d, want 200", a.status)
	}
	b.dir.change(t, settings.Command{Op: settings.WithdrawKey, KeyID: b.key.ID})
	if a := b.do(b.chat("1")); a.status != 401 || a.code != "invalid_key" {
		t.Errorf("withdrawn key: status %d, code %q; want 401, invalid_key", a.status, a.code)
	}
}

func TestOpenRouteIsServedWithStaleSettings(t *testing.T) {
	b := newFixture(t)
	b.dir.fresh.Store(false)
	if a := b.do(call{path: "/services/stock", body: "x"}); a.status != 200 {
		t.Errorf("open route: status %d, want 200; body %s", a.status, a.body)
	}
	if a := b.do(b.order("x", "")); a.status != 503 || a.code != "settings_not_fresh" || a.verdict != "not_run" {
		t.Errorf("keyed route: status %d, code %q; want 503, settings_not_fresh, not_run", a.status, a.code)
	}
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	b := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	resp := b.start(ctx, b.url, b.chat("100000"))
	_, _ = resp.Body.Read(make([]byte, 1))
	cancel()
	_ = resp.Body.Close()
	waitFor(t, func() bool { return b.engine.Running() == 0 && b.entry.active.count() == 0 })
}

func TestTruncatedAnswersNeverLookComplete(t *testing.T) {
	for _, kind := range []engine.FaultKind{engine.Cut, engine.Short, engine.Garbage, engine.Endless} {
		t.Run(string(kind), func(t *testing.T) {
			b := newFixture(t)
			b.engine.Inject(engine.Fault{Kind: kind, After: 3})
			a := b.do(b.chat("50"))
			if strings.Contains(a.body, "[DONE]") || a.readErr == nil && a.code == "" {
				t.Errorf("got status %d, body %q, want an answer that does not look complete", a.status, a.body)
			}
		})
	}
}

func TestRepeatableRequestIsRetriedElsewhere(t *testing.T) {
	b := newFixture(t)
	b.engine.Inject(engine.Fault{Kind: engine.Reject, Times: 1})
	second := engine.New(engine.Config{Model: "m", TokenInterval: time.Millisecond})
	b.startAgent("engine-2", engineBackendConfig(b, second))
	for range 4 {
		if a := b.do(b.chat("3")); a.status != 200 || !strings.HasSuffix(a.body, "[DONE]\n\n") {
			t.Errorf("got status %d, body %s, want 200 and a complete answer", a.status, a.body)
		}
	}
}

func TestIdempotencyKeyPreventsSecondRun(t *testing.T) {
	tests := []struct {
		name    string
		fault   *service.Fault
		key     string
		first   string // code of the first answer
		verdict string
		second  string // code of the second, equal request
		times   int    // requests received by the service
	}{
		{"answered, then repeated", nil, "k", "", "ran", "", 1},
		{"no idempotency key", nil, "", "", "ran", "", 2},
		{"answer lost after the run", &service.Fault{Kind: service.CloseAfterReading, Times: 1}, "k", "backend_failed", "may_have_run", "outcome_unknown", 1},
		{"answer lost, no idempotency key", &service.Fault{Kind: service.CloseAfterReading, Times: 1}, "", "backend_failed", "may_have_run", "", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t)
			if tt.fault != nil {
				b.service.Inject(*tt.fault)
			}
			c := b.order(`{"hides":3}`, tt.key)
			a := b.do(c)
			if a.code != tt.first || a.header.Get(headerVerdict) != tt.verdict {
				t.Errorf("first: code %q, verdict %q; want %q, %q; body %s", a.code, a.header.Get(headerVerdict), tt.first, tt.verdict, a.body)
			}
			b.entry.background.Wait()
			again := b.do(c)
			if again.code != tt.second {
				t.Errorf("second: code %q, want %q; body %s", again.code, tt.second, again.body)
			}
			if tt.key != "" && tt.second == "" && again.body != a.body {
				t.Errorf("got second answer %q, want the first, %q", again.body, a.body)
			}
			if n := b.arrivals(); n != tt.times {
				t.Errorf("service got %d requests, want %d", n, tt.times)
			}
		})
	}
}

func (b *fixture) arrivals() int {
	n := 0
	for _, times := range b.service.Arrivals() {
		n += times
	}
	return n
}

func TestIdempotencyKeyWithAnotherBodyIsRefused(t *testing.T) {
	b := newFixture(t)
	b.do(b.order("a", "k"))
	if a := b.do(b.order("b", "k")); a.status != 422 || a.code != "idempotency_key_reused" || a.verdict != "not_run" {
		t.Errorf("status %d, code %q, verdict %q; want 422, idempotency_key_reused, not_run", a.status, a.code, a.verdict)
	}
	if n := b.arrivals(); n != 1 {
		t.Errorf("service got %d requests, want 1", n)
	}
}

// TestClaimLeftByCrashedEntry leaves a claim without an outcome, as an entry does that crashes between claim and dispatch. A
// repeated request takes it over only if the agent proves that the first one has not run.
func TestClaimLeftByCrashedEntry(t *testing.T) {
	tests := []struct {
		name        string
		incarnation string // of the agent in the claim; empty: the current one
		code        string // of the repeated request's answer
		times       int    // requests received by the service
	}{
		{"before the dispatch: the agent proves that it has not run", "", "", 1},
		{"agent restarted since: nothing is proven", "old", "request_in_progress", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t)
			server, _ := b.entry.servers.Find("orders-1")
			if tt.incarnation != "" {
				server.Incarnation = tt.incarnation
			}
			x := &exchange{organisation: "camurca", model: "orders", idempotencyKey: "k", method: "POST", pathAndQuery: "/services/orders/new", body: []byte("x")}
			crashed := b.entry.newAttempt(x, server, 1, nil)
			out, err := b.entry.proposeClaim(context.Background(), crashed.command(claim.Claim))
			if err != nil || out.State != claim.StateClaimed {
				t.Fatalf("got outcome %+v, error %v, want the key claimed", out, err)
			}
			x.id = newRequestID()
			url, _ := b.startEntry("entry-2")
			a := b.doAt(url, b.order("x", "k"))
			if a.code != tt.code || b.arrivals() != tt.times {
				t.Errorf("code %q, %d requests at the service; want %q, %d; body %s", a.code, b.arrivals(), tt.code, tt.times, a.body)
			}
		})
	}
}

// TestRepeatedRequestJoinsRunningOne repeats a request at another entry while the first is running: both get the same answer.
func TestRepeatedRequestJoinsRunningOne(t *testing.T) {
	b := newFixture(t)
	b.service.Inject(service.Fault{Kind: service.Slow, Times: 1, DelayMs: 200})
	url, _ := b.startEntry("entry-2")
	first := make(chan answer, 1)
	go func() { first <- b.do(b.order("x", "k")) }()
	waitFor(t, func() bool { return b.arrivals() == 1 })
	second := b.doAt(url, b.order("x", "k"))
	a := <-first
	if a.status != 200 || second.status != 200 || a.body != second.body || b.arrivals() != 1 {
		t.Errorf("first answer %d %q, second %d %q, %d requests at the service; want equal answers and 1 request", a.status, a.body, second.status, second.body, b.arrivals())
	}
}

func TestStoredAnswerIsReturned(t *testing.T) {
	b := newFixture(t)
	c := b.chat("20")
	c.headers = map[string]string{headerClass: "kept"}
	a := b.do(c)
	id := a.header.Get(headerRequestID)
	other := b.dir.key(t, "fjordslag")
	url, _ := b.startEntry("entry-2")
	again := b.doAt(url, call{method: "GET", path: "/v1/answers/" + id, key: b.key.Secret})
	if again.body != a.body || again.readErr != nil {
		t.Errorf("fetched %q, want %q", again.body, a.body)
	}
	foreign := b.doAt(url, call{method: "GET", path: "/v1/answers/" + id, key: other.Secret})
	if foreign.status == 200 || strings.Contains(foreign.body, "delta") {
		t.Errorf("another organisation: got status %d, body %s, want a refusal without the answer", foreign.status, foreign.body)
	}
}

func TestRequestAboveConcurrencyLimitIsRefused(t *testing.T) {
	b := newFixture(t)
	c := b.chat("100000")
	c.headers = map[string]string{headerClass: "single"}
	resp, _ := b.begin(c)
	a := b.do(c)
	if a.status != 429 || a.code != "limit_exceeded" || a.header.Get("Retry-After") == "" || a.verdict != "not_run" {
		t.Errorf("status %d, code %q, headers %v; want 429, limit_exceeded, not_run and Retry-After", a.status, a.code, a.header)
	}
	_ = resp.Body.Close()
	waitFor(t, func() bool { return b.entry.active.count() == 0 })
	c.body = strings.Replace(c.body, "100000", "1", 1)
	if a := b.do(c); a.status != 200 {
		t.Errorf("after the release: got status %d, body %s, want 200", a.status, a.body)
	}
}

func TestGracefulShutdownCompletesStreams(t *testing.T) {
	b := newFixture(t)
	_, r := b.begin(b.chat("300"))
	stopped := make(chan struct{})
	go func() {
		b.stop()
		close(stopped)
	}()
	waitFor(t, func() bool { ready, _ := b.entry.Status(); return !ready })
	rest, err := io.ReadAll(r)
	if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Errorf("stream ends in %q, error %v; want a complete answer", rest[max(0, len(rest)-40):], err)
	}
	<-stopped
}

// TestUsageCountsDeliveredTokensOnce checks that delivered tokens are reported cumulatively and counted once.
func TestUsageCountsDeliveredTokensOnce(t *testing.T) {
	b := newFixture(t)
	for range 3 {
		b.do(b.chat("7"))
	}
	plain := b.chat("5")
	plain.body = strings.Replace(plain.body, `"stream":true,`, "", 1)
	b.do(plain)
	b.do(b.order("x", "k"))
	b.do(b.order("x", "k")) // replayed
	b.stop()
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	newest := make(map[meter.Key]*controlpb.UsageCounter)
	for _, r := range b.dir.usage {
		for _, c := range r.Counters {
			k := meter.Key{Window: c.Window, Organisation: c.Organisation, Class: c.Class, Model: c.Model}
			if old := newest[k]; old != nil && (c.OutputTokens < old.OutputTokens || c.Requests < old.Requests) {
				t.Errorf("counter changed from %v to %v, want it not to decrease", old, c)
			}
			newest[k] = c
		}
	}
	var tokens, requests uint64
	for _, c := range newest {
		tokens += c.OutputTokens
		requests += c.Requests
	}
	if tokens != 26 || requests != 5 {
		t.Errorf("reported %d tokens and %d requests, want 26 and 5: %v", tokens, requests, newest)
	}
}
