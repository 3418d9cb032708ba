package process

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/control"
)

// settleTime bounds what a group may take on a slow machine; the tests wait for conditions, not for times.
const settleTime = time.Minute

// discovered is a group of control members that find each other through seeds. Each has its own loopback address, and all have
// the same port, as on machines.
type discovered struct {
	t    *testing.T
	port int
	dir  string
}

// member is a running member.
type discoveredMember struct {
	*Control
	stop func()
}

func newDiscovered(t *testing.T) *discovered {
	lis, err := net.Listen("tcp", "127.0.0.9:0")
	if err != nil {
		t.Skipf("no further loopback addresses here: %v", err)
	}
	defer func() { _ = lis.Close() }()
	return &discovered{t: t, port: lis.Addr().(*net.TCPAddr).Port, dir: t.TempDir()}
}

func (d *discovered) address(host int) string { return fmt.Sprintf("127.0.0.%d:%d", host, d.port) }

// start runs the member at a host. first says that the system starts for the first time.
func (d *discovered) start(host int, first bool) *discoveredMember {
	d.t.Helper()
	settings := fmt.Sprintf(`{
  "id": "member-%d", "zone": "a", "control_port": %d,
  "control_members": ["127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"],
  "control": {"group": 1, "discover": true, "join": %v, "listen": %q, "operators": "127.0.0.%d:0", "data": %q, "min_free_mb": 1}
}`, host, d.port, !first, d.address(host), host, d.data(host))
	cfg, problems := config.Parse("settings", []byte(settings))
	if err := problems.Err(); err != nil {
		d.t.Fatal(err)
	}
	base, err := NewBase(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		d.t.Fatal(err)
	}
	base.Adapter.Operators = func(control.Plane, *slog.Logger) http.Handler { return http.NotFoundHandler() }
	c, err := BuildControl(base)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	m := &discoveredMember{Control: c}
	m.stop = func() {
		cancel()
		if err := <-done; err != nil {
			d.t.Errorf("member %d: %v", host, err)
		}
		m.stop = func() {}
	}
	d.t.Cleanup(func() { m.stop() })
	return m
}

func (d *discovered) data(host int) string { return filepath.Join(d.dir, fmt.Sprint(host)) }

// until waits for a condition.
func (d *discovered) until(what string, condition func() bool) {
	d.t.Helper()
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.t.Fatalf("never: %s", what)
}

// accept puts a catalog in force through a member.
func (d *discovered) accept(m *discoveredMember, version uint64) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	if held, err := m.service.ReplaceCatalog(ctx, version, []byte(fmt.Sprintf(`{"version":%d}`, version))); err != nil || held != version {
		d.t.Fatalf("version %d: held %d, %v", version, held, err)
	}
}

// reads checks that a member reads a version, confirmed by the group.
func (d *discovered) reads(m *discoveredMember, version uint64) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	got, document, err := m.service.ReadCatalog(ctx)
	if err != nil || got != version || string(document) != fmt.Sprintf(`{"version":%d}`, version) {
		d.t.Errorf("read version %d, %q, %v; want %d", got, document, err, version)
	}
}

// TestMembersFindEachOther founds a group by its seeds, lets a member join that nobody named, and replaces one that lost its disk.
func TestMembersFindEachOther(t *testing.T) {
	d := newDiscovered(t)
	members := make(map[int]*discoveredMember)
	for host := 1; host <= 4; host++ {
		members[host] = d.start(host, true)
	}
	voters := func(m *discoveredMember) int { return len(m.replica.Status().Members()) }
	d.until("four voters", func() bool { return voters(members[1]) == 4 && voters(members[4]) == 4 })
	d.accept(members[4], 7)
	for _, m := range members {
		d.reads(m, 7)
	}

	before := members[2].replica.Status().Incarnation
	members[2].stop()
	if err := os.RemoveAll(d.data(2)); err != nil {
		t.Fatal(err)
	}
	d.accept(members[1], 8)
	members[2] = d.start(2, false)
	d.until("the member votes with its new disk", func() bool {
		st := members[2].replica.Status()
		own, ok := st.Configuration.Member(st.ID)
		return ok && !own.Learner && own.Incarnation == st.Incarnation && st.Incarnation != before
	})
	d.reads(members[2], 8)
	d.accept(members[2], 9)
	d.reads(members[3], 9)
}

// TestMetricsAreServedAsText reads the metrics on their own address, which serves nothing else.
func TestMetricsAreServedAsText(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := lis.Addr().String()
	_ = lis.Close()
	base, err := NewBase(&config.Config{ID: "p", MetricsListen: address}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	base.Metrics.Counter("things").Inc(3)
	stop, err := serveMetrics(base)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	for path, want := range map[string]int{"/metrics": http.StatusOK, "/debug/pprof/": http.StatusNotFound} {
		res, err := http.Get("http://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode != want {
			t.Errorf("%s: status %d, want %d", path, res.StatusCode, want)
		}
		if want == http.StatusOK && string(body) != "# TYPE guavastack_things counter\nguavastack_things 3\n" {
			t.Errorf("metrics %q", body)
		}
	}
}
