package platformclient_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"

	"github.com/guavastack/guavastack/internal/leasecall/leasecalltest"
	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var sender = platformclient.Sender{Holder: "control-0", Fencing: 2}

func newClient(t *testing.T, url string) *platformclient.Client {
	t.Helper()
	client, err := platformclient.NewClient(platformclient.Config{URL: url})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

func startOrder(id, zone string) platformclient.Order {
	return platformclient.Order{Sender: sender, ID: id, Kind: platformclient.KindStart, Model: "m", Zone: zone}
}

// TestContract runs the client against the stand-in of the platform over a TCP connection.
func TestContract(t *testing.T) {
	s := platform.New(platform.Config{Zones: []platformclient.Zone{{Name: "a", PricePerHour: 2}, {Name: "b"}}, Quota: 1})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client, ctx := newClient(t, server.URL), t.Context()

	first, err := client.Order(ctx, startOrder("x", "a"))
	if err != nil || first.Server == "" {
		t.Fatalf("order: got %+v, %v; want a server", first, err)
	}
	again, err := client.Order(ctx, startOrder("x", "a"))
	if err != nil || again != first {
		t.Errorf("repeated order: got %+v, %v; want the first outcome", again, err)
	}
	inventory, err := client.Inventory(ctx)
	if err != nil || len(inventory.Servers) != 1 || inventory.Servers[0].OrderID != "x" || inventory.Fencing != 2 {
		t.Errorf("inventory: got %+v, %v; want one server of order x and fencing token 2", inventory, err)
	}
	report := platformclient.UsageReport{Sender: sender, Window: 4, Body: []byte(`{"window":4}`)}
	if err := client.ReportUsage(ctx, report); err != nil {
		t.Errorf("report usage: got error %v, want none", err)
	}
	if body, err := client.ReportedUsage(ctx, 4); err != nil || string(body) != string(report.Body) {
		t.Errorf("reported usage: got %s, %v; want the body as reported", body, err)
	}
	if store, err := client.WeightStore(ctx); err != nil || store.Downloads == 0 {
		t.Errorf("weight store: got %+v, %v; want a limit of downloads", store, err)
	}

	other := report
	other.Body = []byte(`{"window":4,"x":1}`)
	stale := startOrder("z", "a")
	stale.Fencing = 1
	orderErr := func(o platformclient.Order) error { _, err := client.Order(ctx, o); return err }
	tests := []struct {
		name string
		err  error
		want error
	}{
		{"quota", orderErr(startOrder("y", "a")), platformclient.ErrQuota},
		{"unknown zone", orderErr(startOrder("y", "q")), platformclient.ErrInvalid},
		{"stale fencing", orderErr(stale), platformclient.ErrStaleFencing},
		{"different figures", client.ReportUsage(ctx, other), platformclient.ErrDifferentFigures},
	}
	for _, tt := range tests {
		if !errors.Is(tt.err, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, tt.err, tt.want)
		}
	}
	s.SetSupply("b", false)
	s.SetQuota(0)
	if err := orderErr(startOrder("y", "b")); !errors.Is(err, platformclient.ErrNoSupply) {
		t.Errorf("no supply: got %v, want ErrNoSupply", err)
	}
	s.SetRateLimited(true)
	var limited *platformclient.RateLimitError
	if err := orderErr(startOrder("y", "a")); !errors.As(err, &limited) || limited.RetryAfter != time.Second {
		t.Errorf("rate limit: got %v, want a RateLimitError with one second", err)
	}
	if _, err := client.ReportedUsage(ctx, 99); !errors.Is(err, errors.NotFound) {
		t.Errorf("unknown window: got %v, want NotFound", err)
	}
}

// TestRequestsAreNotSentTwice counts the requests at servers that provoke HTTP clients to send a request again.
func TestRequestsAreNotSentTwice(t *testing.T) {
	tests := []struct {
		name    string
		respond func(w http.ResponseWriter, r *http.Request, n int64)
	}{
		{"closes without a response", func(w http.ResponseWriter, _ *http.Request, _ int64) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.Close()
			}
		}},
		{"responds, then closes a connection that a client would reuse", func(w http.ResponseWriter, _ *http.Request, n int64) {
			if n > 1 {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "{}")
		}},
		{"redirects", func(w http.ResponseWriter, r *http.Request, _ int64) {
			http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		}},
		{"responds with Retry-After", func(w http.ResponseWriter, _ *http.Request, _ int64) {
			w.Header().Set("Retry-After", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var arrivals atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				tt.respond(w, r, arrivals.Add(1))
			}))
			defer server.Close()
			client := newClient(t, server.URL)
			for range 3 {
				_, _ = client.Order(t.Context(), startOrder("x", "a"))
			}
			if n := arrivals.Load(); n != 3 {
				t.Errorf("got %d requests, want 3 for 3 calls", n)
			}
		})
	}
}

// Guards against a call of a former leader that the kernel delivers after one of its successor (review/4).
func TestAbandonedOrderIsReset(t *testing.T) {
	leasecalltest.CheckAbandonedCallIsReset(t, func(ctx context.Context, address string) error {
		_, err := newClient(t, "http://"+address).Order(ctx, startOrder("x", "a"))
		return err
	})
}
