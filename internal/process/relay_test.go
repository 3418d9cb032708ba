package process

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/guavastack/guavastack/internal/config"
)

// TestRelayRedirectsToMember checks that a relay responds with 503 until a member of the group is known, and then
// redirects to that member with path and query unchanged.
func TestRelayRedirectsToMember(t *testing.T) {
	d := newDiscoveryGroup(t)
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
	send := func() *http.Response {
		w := httptest.NewRecorder()
		relay.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/a/b?c=d", nil))
		return w.Result()
	}
	if res := send(); res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got status %d before a member is known, want 503", res.StatusCode)
	}
	for host := 1; host <= 3; host++ {
		d.start(host, true)
	}
	done := make(chan error, 1)
	ctx := t.Context()
	go func() { done <- relay.Run(ctx) }()
	d.waitUntil("the relay is ready", func() bool { ready, _ := relay.Status(); return ready })
	res := send()
	location := res.Header.Get("Location")
	var members []string
	for host := 1; host <= 3; host++ {
		members = append(members, "http://"+d.ip(host)+":8229/a/b?c=d")
	}
	if res.StatusCode != http.StatusTemporaryRedirect || !slices.Contains(members, location) {
		t.Errorf("got status %d with location %q, want 307 to one of %q", res.StatusCode, location, members)
	}
	w := httptest.NewRecorder()
	relay.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/Evacuate.Start/zone%2Fa", nil))
	if location := w.Header().Get("Location"); w.Code != http.StatusTemporaryRedirect || !strings.HasSuffix(location, ":8229/Evacuate.Start/zone%2Fa") {
		t.Errorf("order of a drain: got status %d with location %q, want 307 with the same path", w.Code, location)
	}
}
