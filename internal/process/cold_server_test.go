package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/config"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// coldPerSecond is the rate that a cold server takes in the catalog of coldCatalog.
const coldPerSecond = 15

// coldCatalog returns a catalog with one route to a service that states a cold rate.
func coldCatalog(document []byte) (*catalog.Catalog, error) {
	var d struct{ Version uint64 }
	if err := json.Unmarshal(document, &d); err != nil {
		return nil, err
	}
	return &catalog.Catalog{
		Version:  d.Version,
		Services: []catalog.Service{{Name: "app", ColdStart: time.Minute, ColdPerSecond: coldPerSecond}},
		Routes: []catalog.Route{{
			Name: "unsafe", Host: "127.0.0.1", PathPrefix: "/", Kind: catalog.Unsafe, Timeout: time.Minute, MaxAttempts: 1,
			Targets: []catalog.Target{{Service: "app", Weight: 1}},
		}},
	}, nil
}

// startColdGateway runs a gateway that watches the group, and returns its address once it is ready.
func startColdGateway(d *discoveryGroup, name string) string {
	d.t.Helper()
	cfg, problems := config.Parse("settings", fmt.Appendf(nil, `{
  "id": %q, "zone": "a", "control_port": %d, "control_members": ["%s:1"], "gateway": {"listen": "127.0.0.1:0"}
}`, name, d.port, d.ip(1)))
	if err := problems.Err(); err != nil {
		d.t.Fatal(err)
	}
	base, err := NewBase(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		d.t.Fatal(err)
	}
	base.Adapter = Adapter{Dialect: promptDialect{}, ParseCatalog: coldCatalog}
	g, err := BuildGateway(base)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	d.t.Cleanup(func() {
		cancel()
		<-done
	})
	d.waitUntil("the gateway "+name+" is ready", func() bool { ready, _ := g.Status(); return ready })
	return g.Addr().String()
}

// sendCold sends a request to a gateway, and returns the status and Retry-After of its answer.
func sendCold(address string, id int64) (status int, retryAfter string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", nil)
	if err != nil {
		return 0, ""
	}
	r.Header.Set(headerTestID, strconv.FormatInt(id, 10))
	r.Header.Set(headerTestParts, "a1")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Header.Get("Retry-After")
}

// TestColdServerBehindSeveralGateways guards against a server that is cold by its heartbeats and gets more than it takes from several
// gateways together, of which one has just started. It compares the number of requests with the time that passed, so that a slow machine
// makes no difference.
func TestColdServerBehindSeveralGateways(t *testing.T) {
	d := newDiscoveryGroup(t)
	member := d.start(1, true)
	for host := 2; host <= 3; host++ {
		d.start(host, true)
	}
	d.waitUntil("three voters", func() bool { return len(member.replica.Status().Members()) == 3 })
	d.replaceCatalog(member, 1)
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set(headerTestID, r.Header.Get(headerTestID))
		_, _ = io.WriteString(w, "x")
	}))
	defer server.Close()
	sequence := uint64(0)
	report := func() {
		sequence++
		member.service.ReportBackend(&controlpb.BackendServer{
			Id: "s1", Incarnation: "1", Address: strings.TrimPrefix(server.URL, "http://"), Kind: route.KindService, Model: "app",
			Lifecycle: route.LifecycleReady, Slots: 4, StartedMs: 1, Sequence: sequence, ColdRemainingMs: 60_000,
		})
	}
	reporting, stopReports := context.WithCancel(t.Context())
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		for reporting.Err() == nil {
			report()
			time.Sleep(200 * time.Millisecond)
		}
	}()
	defer func() {
		stopReports()
		<-reported
	}()
	gateways := []string{startColdGateway(d, "gateway-1"), startColdGateway(d, "gateway-2")}
	time.Sleep(2*control.DefaultRegistryTTL + time.Second) // the member knows all gateways
	var ids, refused, other atomic.Int64
	began := time.Now()
	var clients sync.WaitGroup
	load := func(address string) {
		clients.Go(func() {
			for time.Since(began) < 4*time.Second {
				switch status, retryAfter := sendCold(address, ids.Add(1)); {
				case status == http.StatusServiceUnavailable && retryAfter != "":
					refused.Add(1)
				case status != http.StatusOK:
					other.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	for _, address := range gateways {
		load(address)
		load(address)
	}
	load(startColdGateway(d, "gateway-3"))
	clients.Wait()
	const slack = 5 // as for any one second
	if n, most := float64(arrived.Load()), coldPerSecond*(time.Since(began).Seconds()+0.25)+slack; n == 0 || n > most {
		t.Errorf("%v requests reached the cold server in %v, want some, %.0f at most", n, time.Since(began), most)
	}
	if refused.Load() == 0 || other.Load() > 0 {
		t.Errorf("%d requests were refused with a time to come back, %d got another answer than this and 200; want some and none", refused.Load(), other.Load())
	}
	t.Logf("%d requests reached the cold server in %v, %d were refused", arrived.Load(), time.Since(began), refused.Load())
}
