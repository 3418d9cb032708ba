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

// conditionTimeout bounds the wait for a condition, also on a slow machine.
const conditionTimeout = time.Minute

// discoveryGroup is a group of control members that discover each other through seeds. Each member has its own loopback
// address and all use the same port, like members on separate instances.
type discoveryGroup struct {
	t    *testing.T
	net  string // first three bytes of the members' addresses
	port int
	dir  string
	log  *slog.Logger // of all members

	number int // control.group of the members that are started next
}

// loopbackNet returns the first three bytes of loopback addresses that no other process uses: a port that is free at one of them is free at
// all. At 127.0.0.1 other processes may have it.
func loopbackNet() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.", 64+pid%128, pid/128%256)
}

// runningMember is a control member whose Run has been started.
type runningMember struct {
	*Control
	stop func()
}

func newDiscoveryGroup(t *testing.T) *discoveryGroup {
	members := loopbackNet()
	lis, err := net.Listen("tcp", members+"9:0")
	if err != nil {
		t.Skipf("this system has no loopback addresses besides 127.0.0.1: %v", err)
	}
	defer func() { _ = lis.Close() }()
	return &discoveryGroup{
		t: t, net: members, port: lis.Addr().(*net.TCPAddr).Port, dir: t.TempDir(),
		log: slog.New(slog.DiscardHandler), number: 1,
	}
}

func (d *discoveryGroup) ip(host int) string { return fmt.Sprint(d.net, host) }

func (d *discoveryGroup) address(host int) string { return fmt.Sprintf("%s:%d", d.ip(host), d.port) }

// start runs the member at host. newGroup allows the member to bootstrap a group; otherwise it can only join one.
func (d *discoveryGroup) start(host int, newGroup bool) *runningMember {
	d.t.Helper()
	return d.startWith(host, newGroup, BuildControl)
}

// startWith is start with another function that builds the member.
func (d *discoveryGroup) startWith(host int, newGroup bool, build func(*Base) (*Control, error)) *runningMember {
	d.t.Helper()
	settings := fmt.Sprintf(`{
  "id": "member-%d", "zone": "a", "control_port": %d,
  "control_members": ["%s:1", "%s:1", "%s:1"], "allowed_peers": ["127.0.0.0/8"],
  "control": {"group": %d, "discover": true, "join": %v, "listen": %q, "operators": "%s:0", "data": %q, "min_free_mb": 1}
}`, host, d.port, d.ip(1), d.ip(2), d.ip(3), d.number, !newGroup, d.address(host), d.ip(host), d.dataDir(host))
	cfg, problems := config.Parse("settings", []byte(settings))
	if err := problems.Err(); err != nil {
		d.t.Fatal(err)
	}
	base, err := NewBase(cfg, d.log)
	if err != nil {
		d.t.Fatal(err)
	}
	base.Adapter.ControlHandler = func(control.Plane, *slog.Logger) http.Handler { return http.NotFoundHandler() }
	c, err := build(base)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	m := &runningMember{Control: c}
	m.stop = func() {
		cancel()
		if err := <-done; err != nil {
			d.t.Errorf("member %d: got error %v from Run, want none", host, err)
		}
		m.stop = func() {}
	}
	d.t.Cleanup(func() { m.stop() })
	return m
}

func (d *discoveryGroup) dataDir(host int) string { return filepath.Join(d.dir, fmt.Sprint(host)) }

// waitUntil fails the test unless condition becomes true within conditionTimeout.
func (d *discoveryGroup) waitUntil(what string, condition func() bool) {
	d.t.Helper()
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.t.Fatalf("timed out waiting for: %s", what)
}

// replaceCatalog replaces the catalog through a member.
func (d *discoveryGroup) replaceCatalog(m *runningMember, version uint64) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	if held, err := m.service.ReplaceCatalog(ctx, version, []byte(fmt.Sprintf(`{"version":%d}`, version))); err != nil || held != version {
		d.t.Fatalf("replace the catalog by version %d: got version %d, error %v, want the same version", version, held, err)
	}
}

// checkCatalog checks that a read through a member, confirmed by the group, returns the given catalog version.
func (d *discoveryGroup) checkCatalog(m *runningMember, version uint64) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	got, document, err := m.service.ReadCatalog(ctx)
	if err != nil || got != version || string(document) != fmt.Sprintf(`{"version":%d}`, version) {
		d.t.Errorf("read the catalog: got version %d, document %q, error %v, want version %d and its document", got, document, err, version)
	}
}

// TestDiscoveryAddsAndReplacesMembers checks that seeds bootstrap a group, that a member joins that is not among the seeds,
// and that a member that lost its disk rejoins and becomes a voter again.
func TestDiscoveryAddsAndReplacesMembers(t *testing.T) {
	d := newDiscoveryGroup(t)
	members := make(map[int]*runningMember)
	for host := 1; host <= 4; host++ {
		members[host] = d.start(host, true)
	}
	voters := func(m *runningMember) int { return len(m.replica.Status().Members()) }
	d.waitUntil("four voters", func() bool { return voters(members[1]) == 4 && voters(members[4]) == 4 })
	d.replaceCatalog(members[4], 7)
	for _, m := range members {
		d.checkCatalog(m, 7)
	}

	before := members[2].replica.Status().Incarnation
	members[2].stop()
	if err := os.RemoveAll(d.dataDir(2)); err != nil {
		t.Fatal(err)
	}
	d.replaceCatalog(members[1], 8)
	members[2] = d.start(2, false)
	d.waitUntil("the member votes with its new disk", func() bool {
		st := members[2].replica.Status()
		own, ok := st.Configuration.Member(st.ID)
		return ok && !own.Learner && own.Incarnation == st.Incarnation && st.Incarnation != before
	})
	d.checkCatalog(members[2], 8)
	d.replaceCatalog(members[2], 9)
	d.checkCatalog(members[3], 9)
}

// TestMetricsListenerServesOnlyText checks that metrics_listen serves the metrics as text and no other path.
func TestMetricsListenerServesOnlyText(t *testing.T) {
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
			t.Errorf("%s: got status %d, want %d", path, res.StatusCode, want)
		}
		if want == http.StatusOK && string(body) != "# TYPE guavastack_things counter\nguavastack_things 3\n" {
			t.Errorf("got metrics %q, want only the counter guavastack_things with value 3", body)
		}
	}
}
