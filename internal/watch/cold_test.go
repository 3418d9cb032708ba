package watch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/watch"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// coldServer is a backend server that reports to a control member how cold it is.
type coldServer struct {
	w        *testGroup
	sequence uint64
	until    time.Time
}

// report sends a heartbeat to a control member.
func (s *coldServer) report(member int) {
	s.sequence++
	s.w.services[member].ReportBackend(&controlpb.BackendServer{
		Id: "a", Incarnation: "1", StartedMs: 1, Sequence: s.sequence, Kind: "service", Model: "m", Lifecycle: "ready",
		ColdRemainingMs: max(time.Until(s.until), 0).Milliseconds(),
	})
}

// reportFor sends heartbeats to the members in turn for a time.
func (s *coldServer) reportFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		s.report(int(s.sequence) % len(s.w.services))
	}
}

// coldOf returns the backend server that a watcher knows; it is the same message until another report reaches the watcher.
func coldOf(t *testing.T, c *watch.Client) *controlpb.BackendServer {
	t.Helper()
	if list := c.Backends(); len(list) == 1 {
		return list[0]
	}
	t.Fatalf("the watcher knows %d servers, want 1", len(c.Backends()))
	return nil
}

// TestColdServerIsReportedAtOnce guards against watchers that learn late that a server has turned cold or warm, and against updates for a
// cold time that merely elapses.
func TestColdServerIsReportedAtOnce(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		var watchers []*watch.Client
		for _, address := range w.addresses {
			watchers = append(watchers, w.watcher("gateway-"+address, address))
		}
		server := &coldServer{w: w}
		server.reportFor(10 * time.Second) // the members' registries are complete
		server.until = time.Now().Add(20 * time.Second)
		server.report(0)
		synctest.Wait()
		var first []*controlpb.BackendServer
		for i, c := range watchers {
			b := coldOf(t, c)
			if b.ColdRemainingMs != 20_000 {
				t.Errorf("watcher %d: cold for %d ms right after the report, want 20000", i, b.ColdRemainingMs)
			}
			first = append(first, b)
		}
		server.reportFor(10 * time.Second)
		for i, c := range watchers {
			if b := coldOf(t, c); b != first[i] {
				t.Errorf("watcher %d got an update while the cold time elapsed: %v", i, b)
			}
		}
		late := w.watcher("gateway-late", w.addresses[1])
		for !late.Ready() {
			time.Sleep(time.Millisecond)
		}
		if b := coldOf(t, late); b.ColdRemainingMs < 9900 || b.ColdRemainingMs > 10_000 {
			t.Errorf("a watcher that starts later gets %d ms before it is ready, want 10000", b.ColdRemainingMs)
		}
		server.until = time.Time{}
		server.report(2)
		synctest.Wait()
		for i, c := range append(watchers, late) {
			if b := coldOf(t, c); b.ColdRemainingMs != 0 {
				t.Errorf("watcher %d: cold for %d ms after the report that the server is warm", i, b.ColdRemainingMs)
			}
		}
	})
}

// TestColdTimeSurvivesRestartOfMembers guards against gateways that take all servers for warm once the control members have lost their
// soft state.
func TestColdTimeSurvivesRestartOfMembers(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		c := w.watcher("gateway")
		server := &coldServer{w: w, until: time.Now().Add(60 * time.Second)}
		server.reportFor(10 * time.Second)
		for i := range w.services {
			w.start(i, "2")
		}
		if b := coldOf(t, c); b.ColdRemainingMs == 0 {
			t.Error("warm right after the restart of the members")
		}
		server.reportFor(10 * time.Second)
		if b := coldOf(t, c); b.ColdRemainingMs == 0 {
			t.Error("warm after the servers reported to the restarted members")
		}
	})
}
