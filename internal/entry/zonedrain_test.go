package entry

import "testing"

// TestServersOfDrainedZoneGetNothing guards against requests to the agents of a drained zone.
func TestServersOfDrainedZoneGetNothing(t *testing.T) {
	b := newFixture(t) // its agents are in zone a
	if a := b.do(b.order("before", "")); a.status != 200 {
		t.Fatalf("before the drain: got status %d, want 200", a.status)
	}
	b.dir.drain("a")
	for name, c := range map[string]call{"engine": b.chat("2"), "service": b.order("during", "")} {
		if a := b.do(c); a.status != 503 || a.code != "no_backend_server" || a.verdict != "not_run" {
			t.Errorf("%s during the drain: got status %d, code %q, verdict %q; want 503, no_backend_server, not_run", name, a.status, a.code, a.verdict)
		}
	}
	b.dir.drain("b")
	if a := b.do(b.chat("2")); a.status != 200 {
		t.Errorf("during the drain of another zone: got status %d, want 200", a.status)
	}
}
