package platform_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"

	"github.com/guavastack/guavastack/internal/platform"
	standin "github.com/guavastack/guavastack/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var sender = platform.Sender{Holder: "control-0", Fencing: 2}

func newClient(t *testing.T, url string) *platform.Client {
	t.Helper()
	client, err := platform.NewClient(platform.Config{URL: url})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

func start(id, zone string) platform.Order {
	return platform.Order{Sender: sender, ID: id, Kind: platform.KindStart, Model: "m", Zone: zone}
}

// TestContract runs the client against the stand-in over a real connection.
func TestContract(t *testing.T) {
	s := standin.New(standin.Config{Zones: []platform.Zone{{Name: "a", PricePerHour: 2}, {Name: "b"}}, Quota: 1})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client, ctx := newClient(t, server.URL), t.Context()

	first, err := client.Order(ctx, start("x", "a"))
	if err != nil || first.Server == "" {
		t.Fatalf("order: %+v, %v", first, err)
	}
	again, err := client.Order(ctx, start("x", "a"))
	if err != nil || again != first {
		t.Errorf("order again: %+v, %v", again, err)
	}
	inventory, err := client.Inventory(ctx)
	if err != nil || len(inventory.Servers) != 1 || inventory.Servers[0].OrderID != "x" || inventory.Fencing != 2 {
		t.Errorf("inventory: %+v, %v", inventory, err)
	}
	report := platform.UsageReport{Sender: sender, Window: 4, Body: []byte(`{"window":4}`)}
	if err := client.ReportUsage(ctx, report); err != nil {
		t.Errorf("report: %v", err)
	}
	if body, err := client.ReportedUsage(ctx, 4); err != nil || string(body) != string(report.Body) {
		t.Errorf("reported usage: %s, %v", body, err)
	}
	if store, err := client.WeightStore(ctx); err != nil || store.Downloads == 0 {
		t.Errorf("weight store: %+v, %v", store, err)
	}

	other := report
	other.Body = []byte(`{"window":4,"x":1}`)
	stale := start("z", "a")
	stale.Fencing = 1
	refused := func(o platform.Order) error { _, err := client.Order(ctx, o); return err }
	tests := []struct {
		name string
		err  error
		want error
	}{
		{"quota", refused(start("y", "a")), platform.ErrQuota},
		{"unknown zone", refused(start("y", "q")), platform.ErrInvalid},
		{"stale fencing", refused(stale), platform.ErrStaleFencing},
		{"different figures", client.ReportUsage(ctx, other), platform.ErrDifferentFigures},
	}
	for _, tt := range tests {
		if !errors.Is(tt.err, tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, tt.err, tt.want)
		}
	}
	s.SetSupply("b", false)
	s.SetQuota(0)
	if err := refused(start("y", "b")); !errors.Is(err, platform.ErrNoSupply) {
		t.Errorf("no supply: %v", err)
	}
	s.SetRateLimited(true)
	var limited *platform.RateLimitError
	if err := refused(start("y", "a")); !errors.As(err, &limited) || limited.RetryAfter != time.Second {
		t.Errorf("rate limit: %v", err)
	}
	if _, err := client.ReportedUsage(ctx, 99); !errors.Is(err, errors.NotFound) {
		t.Errorf("unknown window: %v", err)
	}
}

// TestNeverSentTwice counts the arrivals at servers that read a call and do what makes clients send it again.
func TestNeverSentTwice(t *testing.T) {
	tests := []struct {
		name   string
		answer func(w http.ResponseWriter, r *http.Request, n int64)
	}{
		{"closes without an answer", func(w http.ResponseWriter, _ *http.Request, _ int64) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.Close()
			}
		}},
		{"answers, then closes the connection that a client would reuse", func(w http.ResponseWriter, _ *http.Request, n int64) {
			if n > 1 {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "{}")
		}},
		{"redirects", func(w http.ResponseWriter, r *http.Request, _ int64) {
			http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		}},
		{"asks for another try", func(w http.ResponseWriter, _ *http.Request, _ int64) {
			w.Header().Set("Retry-After", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var arrivals atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				tt.answer(w, r, arrivals.Add(1))
			}))
			defer server.Close()
			client := newClient(t, server.URL)
			for range 3 {
				_, _ = client.Order(t.Context(), start("x", "a"))
			}
			if n := arrivals.Load(); n != 3 {
				t.Errorf("%d arrivals of 3 calls", n)
			}
		})
	}
}

// TestPausedProcessSendsNothing lets a process stand still between the dial and the write. The timer of the call's
// context has not fired when it wakes.
func TestPausedProcessSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		conn := platform.NewDeadlineConn(near, time.Now().Add(time.Second))
		defer func() { _ = conn.Close() }()
		time.Sleep(30 * time.Second)
		if n, err := conn.Write([]byte("order")); n != 0 || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("wrote %d bytes, %v", n, err)
		}
	})
}
