// Package leadership_test runs control members as processes of their own, and kills and stops the leading one.
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
	"github.com/guavastack/guavastack/internal/platform"
	standin "github.com/guavastack/guavastack/internal/standin/platform"
	"github.com/guavastack/guavastack/proto/controlpb"
)

const (
	processes    = 3
	rounds       = 2 // by default; GUAVASTACK_ROUNDS says otherwise
	processPoll  = 50 * time.Millisecond
	roundTimeout = 60 * time.Second
	callTimeout  = 500 * time.Millisecond
)

// controlProcess is one control member in a process of its own.
type controlProcess struct {
	id       string
	address  string
	settings string
	cmd      *exec.Cmd
}

// cluster is the control group, its platform and a client that changes the fleet and reports usage.
type cluster struct {
	t         *testing.T
	binary    string
	standin   *standin.Standin
	members   []*controlProcess
	wanted    int
	served    uint64
	unsettled map[uint64]uint64 // tokens by window
	open      uint64
	answered  int // member that answered last
}

// TestProcessesKilledAndPaused kills and stops the leading process again and again while orders and reports flow.
func TestProcessesKilledAndPaused(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := newCluster(t)
	holder := c.awaitHolder("")
	for round := range roundsWanted(t) {
		m := c.member(holder)
		if round%2 == 0 {
			_ = m.cmd.Process.Kill()
			_ = m.cmd.Wait()
			holder = c.awaitHolder(holder)
			c.start(m)
			continue
		}
		_ = m.cmd.Process.Signal(syscall.SIGSTOP)
		next := c.awaitHolder(holder)
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
	if started := len(c.standin.Servers()); started != c.wanted {
		t.Errorf("%d servers started, %d wanted", started, c.wanted)
	}
	t.Logf("%d events from the platform's record, %d servers, %d tokens", len(record.Events), c.wanted, c.reported())
}

func roundsWanted(t *testing.T) int {
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
		t: t, binary: filepath.Join(t.TempDir(), "guavastack"), unsettled: make(map[uint64]uint64), open: 1,
		standin: standin.New(standin.Config{Zones: []platform.Zone{{Name: "a", PricePerHour: 1}}, IgnoreFencing: true}),
	}
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", c.binary, "../../cmd/guavastack").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	server := httptest.NewServer(c.standin.Handler())
	t.Cleanup(server.Close)
	addresses := freeAddresses(t, processes)
	for i := range processes {
		c.members = append(c.members, c.newMember(i, addresses, server.URL))
	}
	for _, m := range c.members {
		c.start(m)
	}
	t.Cleanup(c.stop)
	return c
}

// freeAddresses returns loopback addresses that were free a moment ago: members must know each other before they start.
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
	c.t.Fatalf("no member %q", id)
	return nil
}

// await keeps orders and usage flowing until the condition holds.
func (c *cluster) await(what string, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(roundTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			c.t.Fatalf("gave up waiting for %s; record: %+v", what, c.standin.Record().Violations)
		}
		c.report()
		time.Sleep(processPoll)
	}
}

// awaitHolder wants servers, one more at a time, until a process other than the given one has ordered and reported.
func (c *cluster) awaitHolder(not string) string {
	c.t.Helper()
	holder := ""
	c.await("a leading process", func() bool {
		if len(c.standin.Servers()) >= c.wanted {
			c.wantMore()
		}
		holder = c.holderOfBoth(not)
		return holder != ""
	})
	return holder
}

// holderOfBoth returns the sender of the newest order and the newest report, once one process sent both.
func (c *cluster) holderOfBoth(not string) string {
	newest := make(map[standin.EventKind]string)
	for _, e := range c.standin.Record().Events {
		newest[e.Kind] = e.Holder
	}
	holder := newest[standin.EventOrder]
	if holder == not || holder != newest[standin.EventUsage] {
		return ""
	}
	return holder
}

// call asks the members in turn, the one that answered last first.
func (c *cluster) call(f func(context.Context, controlpb.DRPCControlClient) error) bool {
	for i := range c.members {
		at := (c.answered + i) % len(c.members)
		if c.callMember(c.members[at], f) == nil {
			c.answered = at
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

// wantMore asks for one more server. The version of the change makes it harmless to send it again.
func (c *cluster) wantMore() {
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

// report serves ten tokens and reports all counters that are not settled, as an entry does.
func (c *cluster) report() {
	c.unsettled[c.open] += 10
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
		c.open = max(c.open, ack.OpenWindow)
		for window := range c.unsettled {
			if window <= ack.SettledWindow && window < c.open {
				delete(c.unsettled, window)
			}
		}
		return nil
	})
}

// reported sums the figures that the platform accepted.
func (c *cluster) reported() uint64 {
	seen := make(map[uint64]bool)
	tokens := uint64(0)
	for _, e := range c.standin.Record().Events {
		if e.Kind != standin.EventUsage || seen[e.Window] {
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
