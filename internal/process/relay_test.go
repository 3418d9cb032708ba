package process

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/guavastack/guavastack/internal/config"
)

// TestRelaySendsCallersToAMember asks a relay before and after it knows a member that reaches the group.
func TestRelaySendsCallersToAMember(t *testing.T) {
	d := newDiscovered(t)
	base, err := NewBase(&config.Config{
		ID: "relay-1", Zone: "a", ControlMembers: []string{d.address(1), d.address(2), d.address(3)},
		Relay: &config.Relay{Listen: "127.0.0.1:0"},
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	relay, err := BuildRelay(base)
	if err != nil {
		t.Fatal(err)
	}
	relay.port = 8229
	ask := func() *http.Response {
		w := httptest.NewRecorder()
		relay.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/a/b?c=d", nil))
		return w.Result()
	}
	if res := ask(); res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d before a member is known, want 503", res.StatusCode)
	}
	for host := 1; host <= 3; host++ {
		d.start(host, true)
	}
	done := make(chan error, 1)
	ctx := t.Context()
	go func() { done <- relay.Run(ctx) }()
	d.until("the relay knows a member", func() bool { ready, _ := relay.Status(); return ready })
	res := ask()
	to := res.Header.Get("Location")
	if res.StatusCode != http.StatusTemporaryRedirect || len(to) < len("http://127.0.0.1:8229/a/b?c=d") || to[len("http://127.0.0.1"):] != ":8229/a/b?c=d" {
		t.Errorf("%d to %q, want 307 to the path at a member", res.StatusCode, to)
	}
}
