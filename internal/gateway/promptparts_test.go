package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/poison"
)

// withParts returns a change of a request that sets the ids of its prompt parts, in hexadecimal.
func withParts(parts string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("X-Parts", parts) }
}

// report applies a report of another gateway to the group's list.
func (b *fixture) report(c poison.Command) {
	b.t.Helper()
	if err := b.dir.ReportPromptParts(b.t.Context(), c); err != nil {
		b.t.Fatal(err)
	}
}

// crashesOf returns a report of several crashes, a second apart and the last one a second ago, each under all of the parts.
func crashesOf(count int, parts ...uint64) poison.Command {
	var c poison.Command
	for i := range count {
		crash := poison.Crash{Server: "other-" + strconv.Itoa(i), AtMS: time.Now().UnixMilli() - 1000*int64(count-i)}
		report := poison.ServerCrash{Crash: crash}
		for _, part := range parts {
			report.Parts = append(report.Parts, poison.CrashedPart{Part: part})
		}
		c.Crashes = append(c.Crashes, report)
	}
	return c
}

// awaitList waits until the group's list satisfies condition.
func (b *fixture) awaitList(what string, condition func(*poison.List) bool) {
	b.t.Helper()
	for !condition(b.dir.PromptParts()) {
		select {
		case <-b.t.Context().Done():
			b.t.Fatalf("the test ended while waiting for: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestRequestWithBlockedPartIsNotSent checks that a request with a blocked part is refused as not run, with the time until the part is
// no longer blocked, and that requests that share its other parts are served.
func TestRequestWithBlockedPartIsNotSent(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			b := newFixture(t, newBackend(t, func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "id: 1\n\n") }))
			b.report(crashesOf(1, 0xb))
			b.report(poison.Command{Block: []uint64{0xb}})
			res, _, err := b.do(http.MethodPost, path, withParts("a,b,c1"))
			if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(headerVerdict) != "not_run" {
				t.Fatalf("answer %v, error %v; want 503, not run", res, err)
			}
			after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
			if err != nil || after <= 0 || after > poison.BlockTime.Seconds() {
				t.Errorf("Retry-After %q, want the time until the part is unblocked", res.Header.Get("Retry-After"))
			}
			if n := len(b.servers[0].requests()); n != 0 {
				t.Errorf("%d requests reached the server, want none", n)
			}
			if res, _, err := b.do(http.MethodPost, path, withParts("a,d,c2")); err != nil || res.StatusCode != 200 {
				t.Errorf("request with the same first part: %v, error %v; want 200", res, err)
			}
			if res, _, err := b.do(http.MethodPost, path, withParts("a,b")); err != nil || res.StatusCode != 200 {
				t.Errorf("request whose own last part has the same id: %v, error %v; want 200", res, err)
			}
		})
	}
}

// TestNoRetryOnceThePartIsBlocked checks that a request that may have run is not sent again once one of its parts is blocked, and that
// its verdict stays.
func TestNoRetryOnceThePartIsBlocked(t *testing.T) {
	var b *fixture
	blocks := func(*http.Request, string) string {
		b.report(crashesOf(1, 0xb))
		b.report(poison.Command{Block: []uint64{0xb}})
		return closeAfter
	}
	b = newFixture(t, newBackend(t, blocks), newBackend(t, blocks))
	res, _, err := b.do(http.MethodPost, "/safe/x", withParts("a,b,c"))
	if err != nil || res.StatusCode != http.StatusBadGateway || res.Header.Get(headerVerdict) != "may_have_run" {
		t.Errorf("answer %v, error %v; want 502, may have run", res, err)
	}
	if n := len(b.servers[0].requests()) + len(b.servers[1].requests()); n != 1 {
		t.Errorf("the request was sent %d times, want once", n)
	}
}

// TestCrashAndAnswersAreReported checks what a gateway reports: a crash with the shared parts in their order, a suspected part of which
// an answer had begun before, and one that was answered since.
func TestCrashAndAnswersAreReported(t *testing.T) {
	var b *fixture
	sound := func(r *http.Request, _ string) string { return streamStart(r, "id: 1\n\n") + lastChunk }
	crashes := closesWith(&b, true, func(r *http.Request) string { return streamStart(r) })
	b = newFixture(t, newBackend(t, func(r *http.Request, body string) string {
		if slices.Contains(splitList(r.Header.Get("X-Parts")), "b") {
			return crashes(r, body)
		}
		return sound(r, body)
	}))
	go b.gw.parts.run(t.Context())
	if _, _, err := b.do(http.MethodPost, "/stream/x", withParts("a,d,c1")); err != nil {
		t.Fatal(err)
	}
	b.report(crashesOf(2, 0xd))
	b.awaitList("the report that an answer has begun", func(l *poison.List) bool { s := l.Find(0xd); return s != nil && s.Begun })
	if _, _, err := b.do(http.MethodPost, "/stream/x", withParts("a,d,c2")); err != nil {
		t.Fatal(err)
	}
	b.awaitList("the report that a part was answered since", func(l *poison.List) bool { return l.Find(0xd) == nil })

	b.report(crashesOf(1, 0xa, 0xb))
	_, _, _ = b.do(http.MethodPost, "/stream/x", withParts("a,b,c3")) // the server crashes
	b.awaitList("the report of the crash", func(l *poison.List) bool { return l.Find(0xb) != nil })
	list := b.dir.PromptParts()
	if s := list.Find(0xb); s.Depth != 1 || s.Begun || len(s.Crashes) != 2 || s.Crashes[1].Server != "s0/1" {
		t.Errorf("suspect %+v, want the second part, no answer begun, with the crash of s0", s)
	}
	if s := list.Find(0xa); s == nil || s.Depth != 0 || !s.Begun {
		t.Errorf("suspect %+v, want the first part, answer begun", s)
	}
	if list.Find(0xc3) != nil {
		t.Error("the request's own part is suspected")
	}
}

// TestLongStreamsCutByCrashesAreNoQueryOfDeath guards against blocking a part whose long streams were cut by several crashes that had
// other causes: an answer that has begun speaks for the part.
func TestLongStreamsCutByCrashesAreNoQueryOfDeath(t *testing.T) {
	var b *fixture
	b = newFixture(t, newBackend(t, closesWith(&b, true, func(r *http.Request) string { return streamStart(r, "id: 1\n\n") })))
	go b.gw.parts.run(t.Context())
	b.report(crashesOf(1, 0xa))
	b.report(crashesOf(2, 0xb))
	_, _, _ = b.do(http.MethodPost, "/stream/x", withParts("a,b,c")) // cut after an event by the third crash
	b.awaitList("the report of the crash", func(l *poison.List) bool { return l.Find(0xa) != nil })
	if s := b.dir.PromptParts().NextToBlock(func(uint64) bool { return true }); s != nil {
		t.Errorf("part %x would be blocked after crashes under streams that had begun", s.Part)
	}
}
