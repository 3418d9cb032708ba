// Package leadership_test runs control members as separate processes, and kills and suspends the leader.
package leadership_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/guavastack/guavastack/internal/core/billing"
	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/core/fleet"
	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/internal/standin/platform"
	"github.com/guavastack/guavastack/proto/controlpb"
)

const (
	memberCount  = 3
	rounds       = 2 // default; GUAVASTACK_ROUNDS overrides it
	pollInterval = 50 * time.Millisecond
	roundTimeout = 60 * time.Second
	callTimeout  = 500 * time.Millisecond
)

// controlProcess is one control member that runs as a separate process.
type controlProcess struct {
	id       string
	address  string
	settings string
	cmd      *exec.Cmd
}

// cluster is the control group, a stand-in platform, and the state of a client that changes the fleet and reports usage.
type cluster struct {
	t            *testing.T
	binary       string
	standin      *platform.Standin
	members      []*controlProcess
	wanted       int               // number of servers in the fleet settings, and the version of the settings
	served       uint64            // tokens counted so far; each is reported until its window is settled
	unsettled    map[uint64]uint64 // tokens by window
	openWindow   uint64
	lastAnswered int // index of the member that answered last
}

// TestLeaderKilledAndSuspended alternately kills and suspends the leader while orders and usage reports are in progress. The
// platform ignores fencing tokens, so a former leader that still acts after the end of its lease would start too many servers,
// report a window with different usage, or appear in the record after its successor.
func TestLeaderKilledAndSuspended(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := newCluster(t)
	holder := c.awaitNewLeader("")
	for round := range roundCount(t) {
		m := c.member(holder)
		if round%2 == 0 {
			_ = m.cmd.Process.Kill()
			_ = m.cmd.Wait()
			holder = c.awaitNewLeader(holder)
			c.start(m)
			continue
		}
		_ = m.cmd.Process.Signal(syscall.SIGSTOP)
		next := c.awaitNewLeader(holder)
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		holder = next
	}
	c.await("all servers", func() bool { return len(c.standin.Servers()) == c.wanted })
	served := c.served
	c.await("all usage reported", func() bool { return c.reported() >= served })
	record := c.standin.Record()
	for _, v := range record.Violations {
		t.Error(v)
	}
	if running := len(c.standin.Servers()); running != c.wanted {
		t.Errorf("got %d running servers, want %d", running, c.wanted)
	}
	t.Logf("%d events in the platform record, %d servers, %d tokens", len(record.Events), c.wanted, c.reported())
}

func roundCount(t *testing.T) int {
	t.Helper()
	text := os.Getenv("GUAVASTACK_ROUNDS")
	if text == "" {
		return rounds
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t: t, binary: filepath.Join(t.TempDir(), "guavastack"), unsettled: make(map[uint64]uint64), openWindow: 1,
		standin: platform.New(platform.Config{Zones: []platformclient.Zone{{Name: "a", PricePerHour: 1}}, IgnoreFencing: true}),
	}
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", c.binary, "../../cmd/guavastack").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	server := httptest.NewServer(c.standin.Handler())
	t.Cleanup(server.Close)
	addresses := freeAddresses(t, memberCount)
	for i := range memberCount {
		c.members = append(c.members, c.newMember(i, addresses, server.URL))
	}
	for _, m := range c.members {
		c.start(m)
	}
	t.Cleanup(c.stop)
	return c
}

// freeAddresses returns loopback addresses whose ports are currently free. The addresses of all members must be known before
// the first one starts, so the ports can't be assigned at listen time.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = lis.Close() }()
		addresses = append(addresses, lis.Addr().String())
	}
	return addresses
}

func (c *cluster) newMember(i int, addresses []string, platformURL string) *controlProcess {
	dir := c.t.TempDir()
	m := &controlProcess{id: fmt.Sprintf("control-%d", i+1), address: addresses[i], settings: filepath.Join(dir, "settings.json")}
	var peers []map[string]any
	for j, a := range addresses {
		peers = append(peers, map[string]any{"id": j + 1, "address": a})
	}
	data, err := json.Marshal(map[string]any{
		"id": m.id, "zone": "a", "log": map[string]any{"level": "warn"},
		"control": map[string]any{
			"member": i + 1, "group": 1, "listen": m.address, "data": filepath.Join(dir, "data"), "peers": peers,
			"platform": map[string]any{"url": platformURL, "window_length": "1s"},
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(m.settings, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
	return m
}

func (c *cluster) start(m *controlProcess) {
	c.t.Helper()
	m.cmd = exec.Command(c.binary, "control", "--config", m.settings)
	m.cmd.Stderr = os.Stderr
	if err := m.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) stop() {
	for _, m := range c.members {
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
		_ = m.cmd.Wait()
	}
}

func (c *cluster) member(id string) *controlProcess {
	for _, m := range c.members {
		if m.id == id {
			return m
		}
	}
	c.t.Fatalf("unknown member %q", id)
	return nil
}

// await reports usage repeatedly until the condition holds, and fails the test after roundTimeout.
func (c *cluster) await(what string, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(roundTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timeout waiting for %s; platform violations: %+v", what, c.standin.Record().Violations)
		}
		c.report()
		time.Sleep(pollInterval)
	}
}

// awaitNewLeader requests servers one at a time until a process other than the previous leader has sent both an order and a
// usage report, and returns the new leader.
func (c *cluster) awaitNewLeader(previous string) string {
	c.t.Helper()
	holder := ""
	c.await("a leader", func() bool {
		if len(c.standin.Servers()) >= c.wanted {
			c.requestServer()
		}
		holder = c.newestSender(previous)
		return holder != ""
	})
	return holder
}

// newestSender returns the sender of the newest order and the newest usage report, or "" while they differ or it is the
// previous leader.
func (c *cluster) newestSender(previous string) string {
	newest := make(map[platform.EventKind]string)
	for _, e := range c.standin.Record().Events {
		newest[e.Kind] = e.Holder
	}
	holder := newest[platform.EventOrder]
	if holder == previous || holder != newest[platform.EventUsage] {
		return ""
	}
	return holder
}

// call calls the members in turn until one succeeds, starting with the one that answered last.
func (c *cluster) call(f func(context.Context, controlpb.DRPCControlClient) error) bool {
	for i := range c.members {
		at := (c.lastAnswered + i) % len(c.members)
		if c.callMember(c.members[at], f) == nil {
			c.lastAnswered = at
			return true
		}
	}
	return false
}

func (c *cluster) callMember(m *controlProcess, f func(context.Context, controlpb.DRPCControlClient) error) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), callTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", m.address)
	if err != nil {
		return err
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	return f(ctx, controlpb.NewDRPCControlClient(conn))
}

// requestServer raises the wanted number of servers by one. The change can be sent again safely, because it is accepted only at the
// version in IfMatch.
func (c *cluster) requestServer() {
	data, err := duty.Encode(duty.Command{Change: &duty.Change{
		ID: fmt.Sprint("change-", c.wanted), IfMatch: uint64(c.wanted),
		Settings: fleet.Settings{Pools: []fleet.Pool{{Model: "m", Zones: []string{"a"}, Manual: map[string]int{"a": c.wanted + 1}}}},
	}}, "test", 0)
	if err != nil {
		c.t.Fatal(err)
	}
	var result duty.Result
	accepted := c.call(func(ctx context.Context, rpc controlpb.DRPCControlClient) error {
		reply, err := rpc.Propose(ctx, &controlpb.ProposeRequest{Command: data, TimeoutMs: callTimeout.Milliseconds()})
		if err != nil {
			return err
		}
		if reply.Error != "" {
			return fmt.Errorf("%s", reply.Error)
		}
		return json.Unmarshal(reply.Result, &result)
	})
	if accepted && result.Code == duty.CodeOK {
		c.wanted++
	}
}

// report adds ten tokens to the open window and reports the counters of all unsettled windows, as an entry does.
func (c *cluster) report() {
	c.unsettled[c.openWindow] += 10
	c.served += 10
	report := &controlpb.UsageReport{EntryId: "entry", Incarnation: "1"}
	for window, tokens := range c.unsettled {
		report.Counters = append(report.Counters, &controlpb.UsageCounter{
			Window: window, Organisation: "o", Class: "c", Model: "m", OutputTokens: tokens,
		})
	}
	c.call(func(ctx context.Context, rpc controlpb.DRPCControlClient) error {
		ack, err := rpc.ReportUsage(ctx, report)
		if err != nil {
			return err
		}
		c.openWindow = max(c.openWindow, ack.OpenWindow)
		for window := range c.unsettled {
			if window <= ack.SettledWindow && window < c.openWindow {
				delete(c.unsettled, window)
			}
		}
		return nil
	})
}

// reported returns the sum of the output tokens over the first report of each window.
func (c *cluster) reported() uint64 {
	seen := make(map[uint64]bool)
	tokens := uint64(0)
	for _, e := range c.standin.Record().Events {
		if e.Kind != platform.EventUsage || seen[e.Window] {
			continue
		}
		seen[e.Window] = true
		r, err := billing.ParseReport([]byte(e.Body))
		if err != nil {
			c.t.Fatal(err)
		}
		tokens += r.Total().OutputTokens
	}
	return tokens
}
