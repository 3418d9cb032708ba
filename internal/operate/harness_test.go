package operate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/billing"
	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/core/fleet"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/internal/standin/platform"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/guavastack/guavastack/proto/linkpb"
)

const heartbeatInterval = 100 * time.Millisecond

// fakeGroup is an in-process control group: one log, a state machine per member, leases in virtual time.
type fakeGroup struct {
	mu      sync.Mutex
	term    uint64
	leader  int
	log     [][]byte
	queue   [][]byte  // proposals that commit at the end of a stall
	stalled time.Time // nothing commits before this time
	members []*fakeMember
}

// commit appends to the log, applies it at all connected members, and returns the proposer's last outcome.
func (g *fakeGroup) commit(data [][]byte, proposer *fakeMember) json.RawMessage {
	g.log = append(g.log, data...)
	var result json.RawMessage
	for _, m := range g.members {
		r := m.catchUp()
		if m == proposer {
			result = r
		}
	}
	return result
}

// fakeMember implements Group for one member.
type fakeMember struct {
	group    *fakeGroup
	id       int
	duty     *duty.Module
	billing  *billing.Module
	machine  *state.Machine
	operator *Operator
	applied  int

	leads          bool // the member acts as the leader while it holds its lease
	term           uint64
	isolatedSince  time.Time // last confirmed heartbeat of an isolated member; zero: not isolated
	stop           context.CancelFunc
	pause          time.Duration // the process is suspended for so long right after its next check of the lease
	outcomesToLose int           // number of proposals that commit but return an error
}

func (m *fakeMember) Lease() (duty.Lease, bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	last := time.Now().Truncate(heartbeatInterval)
	if !m.isolatedSince.IsZero() {
		last = m.isolatedSince
	}
	lease := duty.Lease{Term: m.term, Expires: last.Add(duty.DefaultLease - duty.DefaultDrift)}
	ok := m.leads && time.Now().Before(lease.Expires)
	if ok && m.pause > 0 {
		d := m.pause
		m.pause = 0
		m.group.mu.Unlock()
		time.Sleep(d)
		m.group.mu.Lock()
	}
	return lease, ok
}

func (m *fakeMember) View(f func()) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	f()
}

func (m *fakeMember) Propose(ctx context.Context, data []byte) (json.RawMessage, error) {
	m.group.mu.Lock()
	reachable := m.leads && m.isolatedSince.IsZero() && m.group.leader == m.id
	if !reachable {
		m.group.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer m.group.mu.Unlock()
	if time.Now().Before(m.group.stalled) {
		m.group.queue = append(m.group.queue, data)
		m.group.mu.Unlock()
		<-ctx.Done() // every stall lasts longer than the proposal timeout
		m.group.mu.Lock()
		return nil, ctx.Err()
	}
	result := m.group.commit([][]byte{data}, m)
	if m.outcomesToLose > 0 {
		m.outcomesToLose--
		return nil, errors.New("outcome of the proposal lost")
	}
	return result, nil
}

// catchUp applies the log and returns the outcome of the last command. It does nothing for an isolated member.
func (m *fakeMember) catchUp() json.RawMessage {
	var result json.RawMessage
	for m.isolatedSince.IsZero() && m.applied < len(m.group.log) {
		m.applied++
		r, err := m.machine.Apply(uint64(m.applied), m.group.log[m.applied-1])
		if err != nil {
			panic(err)
		}
		result = r
	}
	return result
}

// fixture is a control group with a stand-in platform, fake agents and a fake entry.
type fixture struct {
	t       *testing.T
	ctx     context.Context
	group   *fakeGroup
	standin *platform.Standin
	faults  *faultyTransport
	agents  *fakeAgents
	entry   *fakeEntry
	running sync.WaitGroup

	incarnation string        // of every agent
	firstToken  time.Duration // expected by every agent
	runningEach uint32        // running requests at every agent
}

// newFixture must be called within a synctest bubble.
func newFixture(t *testing.T, cfg platform.Config) *fixture {
	t.Helper()
	if cfg.Zones == nil {
		cfg.Zones = []platformclient.Zone{{Name: "a", PricePerHour: 2}, {Name: "b", PricePerHour: 2}}
	}
	ctx, cancel := context.WithCancel(t.Context())
	b := &fixture{t: t, ctx: ctx, group: &fakeGroup{leader: -1}, standin: platform.New(cfg), agents: newFakeAgents(), incarnation: "1"}
	b.faults = &faultyTransport{handler: b.standin.Handler()}
	b.entry = &fakeEntry{open: 1, counters: make(map[uint64]uint64)}
	for i := range 3 {
		b.addMember(i)
	}
	t.Cleanup(func() {
		cancel()
		b.running.Wait()
	})
	return b
}

func (b *fixture) addMember(id int) {
	m := &fakeMember{group: b.group, id: id, duty: duty.NewModule(), billing: billing.NewModule()}
	machine, err := state.New(m.duty, m.billing)
	if err != nil {
		b.t.Fatal(err)
	}
	m.machine = machine
	b.group.members = append(b.group.members, m)
	b.startOperator(m)
}

// startOperator starts the operator of a member, also after a crash.
func (b *fixture) startOperator(m *fakeMember) {
	client, err := platformclient.NewClient(platformclient.Config{URL: "http://platform.test", Transport: b.faults})
	if err != nil {
		b.t.Fatal(err)
	}
	operator, err := New(Config{
		ID: fmt.Sprintf("control-%d", m.id), Group: m, Platform: client, Agents: b.agents, Duty: m.duty,
		Billing: m.billing, Registry: b.registry, PollInterval: 200 * time.Millisecond,
		WindowLength: 20 * time.Second, WindowGrace: 4 * time.Second, RecordInterval: 3 * time.Second,
	})
	if err != nil {
		b.t.Fatal(err)
	}
	m.operator = operator
	ctx, cancel := context.WithCancel(b.ctx)
	m.stop = cancel
	b.running.Go(func() { _ = operator.Run(ctx) })
}

// registry returns a registered agent for every running server.
func (b *fixture) registry() []*controlpb.BackendServer {
	var servers []*controlpb.BackendServer
	for _, s := range b.standin.Servers() {
		servers = append(servers, &controlpb.BackendServer{Id: s.ID, Model: s.Model, Zone: s.Zone, Slots: 8, Lifecycle: "ready", Incarnation: b.incarnation, Running: b.runningEach, FirstTokenUs: b.firstToken.Microseconds()})
	}
	return servers
}

// elect makes a member the leader at once, while an isolated older leader may still hold its lease: the worst case that
// an election can produce.
func (b *fixture) elect(id int) {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.group.term++
	b.group.leader = id
	for _, m := range b.group.members {
		if m.id != id && m.isolatedSince.IsZero() {
			m.leads = false
		}
	}
	m := b.group.members[id]
	m.leads = true
	m.term = b.group.term
	m.isolatedSince = time.Time{}
	m.catchUp()
}

// isolate disconnects a member from the group; it still acts as the leader until its lease expires.
func (b *fixture) isolate(id int) {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.group.members[id].isolatedSince = time.Now().Truncate(heartbeatInterval)
}

// heal reconnects an isolated member, which then applies the log and no longer leads if another member was elected.
func (b *fixture) heal(id int) {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	m := b.group.members[id]
	m.isolatedSince = time.Time{}
	m.leads = m.id == b.group.leader
	m.catchUp()
}

// crash stops the operator of a member; its replicated state survives on disk.
func (b *fixture) crash(id int) {
	m := b.group.members[id]
	m.stop()
	b.isolate(id)
	b.group.mu.Lock()
	m.leads = false
	b.group.mu.Unlock()
}

// pauseAfterCheck isolates a member and suspends its process for d right after its next check of the lease.
func (b *fixture) pauseAfterCheck(id int, d time.Duration) {
	b.isolate(id)
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.group.members[id].pause = d
}

// loseOutcomes makes the next n proposals of a member commit but return an error.
func (b *fixture) loseOutcomes(id, n int) {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.group.members[id].outcomesToLose = n
}

// stall blocks commits for d; proposals made meanwhile time out and commit at its end.
func (b *fixture) stall(d time.Duration) {
	b.group.mu.Lock()
	b.group.stalled = time.Now().Add(d)
	b.group.mu.Unlock()
	b.running.Go(func() {
		time.Sleep(d)
		b.group.mu.Lock()
		defer b.group.mu.Unlock()
		b.group.commit(b.group.queue, nil)
		b.group.queue = nil
	})
}

// setWantedServers sets the manual server counts of both zones.
func (b *fixture) setWantedServers(a, z int) {
	b.t.Helper()
	b.group.mu.Lock()
	leader := b.group.members[b.group.leader]
	_, version := leader.duty.Settings()
	b.group.mu.Unlock()
	data, err := duty.Encode(duty.Command{Change: &duty.Change{
		ID: fmt.Sprintf("change-%d", version), IfMatch: version,
		Settings: fleet.Settings{Pools: []fleet.Pool{{Model: "m", Zones: []string{"a", "b"}, Manual: map[string]int{"a": a, "b": z}}}},
	}}, "test", 0)
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := leader.Propose(b.ctx, data); err != nil {
		b.t.Fatal(err)
	}
}

// run lets virtual time d pass, during which the entry reports usage to the reachable leader every second.
func (b *fixture) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		b.entry.serve()
		b.entry.report(b.reachable())
		time.Sleep(time.Second)
	}
	synctest.Wait()
}

// waitForHangingCall lets time pass until a call hangs.
func (b *fixture) waitForHangingCall() {
	for b.faults.addHanging(0) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
}

// reachable returns the leader that the entry can reach, or nil if there is none.
func (b *fixture) reachable() *fakeMember {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	for _, m := range b.group.members {
		if m.leads && m.isolatedSince.IsZero() {
			return m
		}
	}
	return nil
}

// servers returns the number of servers in a zone.
func (b *fixture) servers(zone string) int {
	n := 0
	for _, s := range b.standin.Servers() {
		if s.Zone == zone {
			n++
		}
	}
	return n
}

// started returns the number of servers that the platform has ever started.
func (b *fixture) started() int {
	servers := make(map[string]bool)
	for _, e := range b.standin.Record().Events {
		if e.Order == platformclient.KindStart && e.Code == "ok" {
			servers[e.Server] = true
		}
	}
	return len(servers)
}

// reported returns the sum of all usage reports that the platform accepted, and the number of reported windows.
func (b *fixture) reported() (tokens, windows uint64) {
	seen := make(map[uint64]bool)
	for _, e := range b.standin.Record().Events {
		if e.Kind != platform.EventUsage || e.Code != "ok" || seen[e.Window] {
			continue
		}
		seen[e.Window] = true
		r, err := billing.ParseReport([]byte(e.Body))
		if err != nil {
			b.t.Fatal(err)
		}
		tokens += r.Total().OutputTokens
		windows++
	}
	return tokens, windows
}

// fakeEntry counts and reports one organisation's usage as an entry does.
type fakeEntry struct {
	open        uint64
	counters    map[uint64]uint64 // output tokens by window
	total       uint64
	reportsLost bool // the network loses its reports
}

func (e *fakeEntry) serve() {
	e.counters[e.open] += 10
	e.total += 10
}

func (e *fakeEntry) report(m *fakeMember) {
	if m == nil || e.reportsLost {
		return
	}
	report := &controlpb.UsageReport{EntryId: "entry", Incarnation: "1"}
	for window, tokens := range e.counters {
		report.Counters = append(report.Counters, &controlpb.UsageCounter{
			Window: window, Organisation: "camurca", Class: "chat", Model: "m", Requests: tokens / 10, OutputTokens: tokens,
		})
	}
	ack := m.operator.Usage().Report(report)
	e.open = max(e.open, ack.OpenWindow)
	for window := range e.counters {
		if window <= ack.Settled && window < e.open {
			delete(e.counters, window)
		}
	}
}

// fakeAgents implements Agents; each server drains by one request per SetLifecycle call.
type fakeAgents struct {
	mu      sync.Mutex
	fencing map[string]uint64
	running map[string]uint32
	orders  []*linkpb.EngineOrder
	calls   int
	respond func(n int) (*linkpb.EngineOrderResult, error) // response to the nth engine order; nil: accepted
}

func newFakeAgents() *fakeAgents {
	return &fakeAgents{fencing: make(map[string]uint64), running: make(map[string]uint32)}
}

func (a *fakeAgents) SetLifecycle(_ context.Context, s *controlpb.BackendServer, r *linkpb.LifecycleRequest) (*linkpb.LifecycleReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	if r.Fencing < a.fencing[s.Id] {
		return &linkpb.LifecycleReply{Fencing: a.fencing[s.Id]}, nil
	}
	a.fencing[s.Id] = r.Fencing
	if a.running[s.Id] > 0 {
		a.running[s.Id]--
	}
	return &linkpb.LifecycleReply{
		Accepted: true, Fencing: r.Fencing, Lifecycle: linkpb.Lifecycle_LIFECYCLE_LEAVING, Running: a.running[s.Id],
	}, nil
}

func (a *fakeAgents) Order(_ context.Context, s *controlpb.BackendServer, o *linkpb.EngineOrder) (*linkpb.EngineOrderResult, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.orders = append(a.orders, o)
	if a.respond != nil {
		if r, err := a.respond(len(a.orders)); r != nil || err != nil {
			return r, err
		}
	}
	if o.Fencing < a.fencing[s.Id] {
		return &linkpb.EngineOrderResult{Stale: true, Fencing: a.fencing[s.Id]}, nil
	}
	a.fencing[s.Id] = o.Fencing
	return &linkpb.EngineOrderResult{Accepted: true, Fencing: o.Fencing}, nil
}

// fault is a network fault of one call.
type fault int

const (
	deliver          fault = iota
	loseCall               // the call never arrives; the caller waits until its deadline
	loseResponse           // the call arrives, its response does not; the caller waits until its deadline
	duplicate              // the call arrives twice
	arriveAtDeadline       // the call arrives at the caller's deadline
	rateLimitOnce          // the platform refuses the call by its rate limit
)

// faultyTransport delivers calls to an in-process handler and injects faults.
type faultyTransport struct {
	handler http.Handler
	mu      sync.Mutex
	plan    func(method, path string) fault
	hanging int // calls that wait until their deadline
}

// addHanging changes the number of calls that wait until their deadline, and returns it.
func (f *faultyTransport) addHanging(change int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hanging += change
	return f.hanging
}

// hang blocks a call until its deadline.
func (f *faultyTransport) hang(r *http.Request) error {
	f.addHanging(1)
	<-r.Context().Done()
	f.addHanging(-1)
	return r.Context().Err()
}

func (f *faultyTransport) setFaults(plan func(method, path string) fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan = plan
}

func (f *faultyTransport) next(r *http.Request) fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plan == nil {
		return deliver
	}
	return f.plan(r.Method, r.URL.Path)
}

// RoundTrip implements http.RoundTripper.
func (f *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	switch f.next(r) {
	case loseCall:
		return nil, f.hang(r)
	case loseResponse:
		f.serve(r, body)
		return nil, f.hang(r)
	case arriveAtDeadline:
		err := f.hang(r)
		f.serve(r, body)
		return nil, err
	case duplicate:
		f.serve(r, body)
		return f.serve(r, body), nil
	default:
		time.Sleep(5 * time.Millisecond)
		return f.serve(r, body), nil
	}
}

func (f *faultyTransport) serve(r *http.Request, body []byte) *http.Response {
	w := httptest.NewRecorder()
	req := httptest.NewRequestWithContext(context.Background(), r.Method, r.URL.Path, bytes.NewReader(body))
	req.Header = r.Header
	f.handler.ServeHTTP(w, req)
	return w.Result()
}

// pausedSettings returns paused settings with one server in each zone.
func pausedSettings() fleet.Settings {
	return fleet.Settings{
		Paused: true,
		Pools:  []fleet.Pool{{Model: "m", Zones: []string{"a", "b"}, Manual: map[string]int{"a": 1, "b": 1}}},
	}
}

// broadcastNow returns a broadcast that begins now and needs n servers.
func broadcastNow(n int) []fleet.Broadcast {
	return []fleet.Broadcast{{
		Model: "m", BeginMS: time.Now().UnixMilli(), EndMS: time.Now().Add(time.Hour).UnixMilli(), Servers: n,
	}}
}
