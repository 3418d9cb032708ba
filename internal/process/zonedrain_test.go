package process

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/platform"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// zonedServer is a backend server that counts the requests that it gets.
type zonedServer struct {
	id, zone string
	http     *httptest.Server
	requests atomic.Int64
}

func startZonedServer(t *testing.T, id, zone string) *zonedServer {
	t.Helper()
	s := &zonedServer{id: id, zone: zone}
	s.http = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		w.Header().Set(headerTestID, r.Header.Get(headerTestID))
		w.Header().Set("Content-Length", "7")
		_, _ = io.WriteString(w, "id: 1\n\n")
	}))
	t.Cleanup(s.http.Close)
	return s
}

// drainFixture is a control group, whose members the operator calls through the handler of the platform adapter, with backend servers in zones.
type drainFixture struct {
	*discoveryGroup
	servers []*zonedServer
	ids     atomic.Int64

	mu      sync.Mutex
	members []*runningMember
}

// running returns the members that were started last.
func (f *drainFixture) running() []*runningMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

func newDrainFixture(t *testing.T) *drainFixture {
	f := &drainFixture{discoveryGroup: newDiscoveryGroup(t)}
	f.startMembers()
	f.replaceCatalog(f.members[0], 1)
	for _, s := range []struct{ id, zone string }{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"c1", "c"}} {
		f.servers = append(f.servers, startZonedServer(t, s.id, s.zone))
	}
	go f.report(t.Context())
	return f
}

// startMembers starts three members, on the data of those before them if there were any.
func (f *drainFixture) startMembers() {
	f.t.Helper()
	var members []*runningMember
	for host := 1; host <= 3; host++ {
		members = append(members, f.start(host, true))
	}
	f.mu.Lock()
	f.members = members
	f.mu.Unlock()
	f.waitUntil("three voters and a leader", func() bool {
		_, ok := f.members[0].replica.Leader()
		return ok && f.members[0].voters() == 3
	})
}

// report registers the servers with every member, until ctx ends.
func (f *drainFixture) report(ctx context.Context) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		for _, s := range f.servers {
			for _, m := range f.running() {
				m.service.ReportBackend(&controlpb.BackendServer{
					Id: s.id, Incarnation: "1", Address: strings.TrimPrefix(s.http.URL, "http://"), Kind: route.KindService, Model: "app", Zone: s.zone,
					Lifecycle: route.LifecycleReady, Slots: 4, StartedMs: 1, Sequence: sequence,
				})
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// call makes an operator's call at member i and returns the status.
func (f *drainFixture) call(i int, path string) int {
	w := httptest.NewRecorder()
	handler := platform.NewControlHandler(f.running()[i].service, f.log)
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, nil))
	return w.Code
}

// order repeats an operator's call at the members in turn until it is acknowledged.
func (f *drainFixture) order(path string) {
	f.t.Helper()
	i := 0
	f.waitUntil("acknowledgement of "+path, func() bool {
		i++
		return f.call(i%3, path) == http.StatusOK
	})
}

// requestsIn returns the number of requests that the servers of a zone have got.
func (f *drainFixture) requestsIn(zone string) (n int64) {
	for _, s := range f.servers {
		if s.zone == zone {
			n += s.requests.Load()
		}
	}
	return n
}

// zonesInUse sends requests through a gateway and returns the zones that served them, sorted. No two requests have a part in common, so
// that they do not all have the same home.
func (f *drainFixture) zonesInUse(gateway string) []string {
	f.t.Helper()
	before := make([]int64, len(f.servers))
	for i, s := range f.servers {
		before[i] = s.requests.Load()
	}
	for range 40 {
		sendPrompt(gateway, f.ids.Add(1))
	}
	zones := []string{}
	for i, s := range f.servers {
		if s.requests.Load() > before[i] {
			zones = append(zones, s.zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// waitForZones waits until a gateway uses exactly these zones, twice in a row.
func (f *drainFixture) waitForZones(what, gateway string, want ...string) {
	f.t.Helper()
	inARow := 0
	f.waitUntil(what, func() bool {
		inARow++
		if !slices.Equal(f.zonesInUse(gateway), want) {
			inARow = 0
		}
		return inARow == 2
	})
}

// TestDrainSurvivesRestartOfAllMembers orders a drain, ends all control members suddenly right after the acknowledgement and starts them on their
// data. The drain must still be in force, at the gateways that ran on and at one that starts later, and its end too must outlast them.
func TestDrainSurvivesRestartOfAllMembers(t *testing.T) {
	f := newDrainFixture(t)
	gateway := startPromptGateway(f.discoveryGroup, "gateway-1")
	f.waitForZones("all zones are used", gateway, "a", "b", "c")

	f.order("/Evacuate.Start/a")
	for _, m := range f.members {
		f.lose(m)
	}
	f.startMembers()
	for _, m := range f.members {
		if err := m.service.ConfirmCatalog(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := m.service.ZoneDrains().Zones(); !slices.Equal(got, []string{"a"}) {
			t.Errorf("got drained zones %q after the restart of all members, want zone a", got)
		}
	}
	f.waitForZones("zone a is drained at the running gateway", gateway, "b", "c")
	before := f.requestsIn("a")
	later := startPromptGateway(f.discoveryGroup, "gateway-2")
	f.waitForZones("the gateway that started later knows the servers", later, "b", "c")
	if n := f.requestsIn("a") - before; n > 0 {
		t.Errorf("the gateway that started later sent %d requests to zone a, want none", n)
	}

	f.order("/Evacuate.Finish/a")
	for _, m := range f.members {
		f.lose(m)
	}
	f.startMembers()
	f.waitForZones("all zones are used after the drain", gateway, "a", "b", "c")
	f.waitForZones("all zones are used by the later gateway", later, "a", "b", "c")
}

// TestDrainWithoutQuorum orders drains while the control group has no quorum: the order gets 503 and has no effect, and the drain of before
// stays in force, also at servers that register meanwhile.
func TestDrainWithoutQuorum(t *testing.T) {
	f := newDrainFixture(t)
	gateway := startPromptGateway(f.discoveryGroup, "gateway-1")
	f.waitForZones("all zones are used", gateway, "a", "b", "c")
	f.order("/Evacuate.Start/a")
	f.waitForZones("zone a is drained", gateway, "b", "c")

	f.lose(f.members[1])
	f.lose(f.members[2])
	start := time.Now()
	if status := f.call(0, "/Evacuate.Start/b"); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d for an order without a quorum after %v, want 503", status, time.Since(start))
	}
	if status := f.call(0, "/Evacuate.Finish/a"); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d for the end of a drain without a quorum, want 503", status)
	}
	if got := f.zonesInUse(gateway); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("got zones %q in use without a quorum, want b and c", got)
	}

	f.lose(f.members[0])
	f.startMembers()
	f.order("/Evacuate.Start/b")
	f.waitForZones("two zones are drained", gateway, "c")
	f.order("/Evacuate.Start/c")
	f.waitForZones("all zones are drained", gateway)
	if status := sendPrompt(gateway, f.ids.Add(1)); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d with all zones drained, want 503", status)
	}
	f.order("/Evacuate.Finish/b")
	f.waitForZones("zone b is used again", gateway, "b")
}
