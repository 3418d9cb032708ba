package gateway

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/guavastack/guavastack/internal/explain"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// logOutput is a log destination that is safe for concurrent use.
type logOutput struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *logOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *logOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// TestLogsExplainFailedRequests checks that the logs alone show, by request id, why a request failed.
func TestLogsExplainFailedRequests(t *testing.T) {
	cases := []struct {
		name     string
		path     string
		script   func(r *http.Request, body string) string
		noServer bool // there is no backend server
		want     []string
	}{
		{
			"refused by a full server", "/unsafe/x", func(r *http.Request, _ string) string { return fullAnswer(r, 503, "X-Not-Run: 1\r\n", "") }, false,
			[]string{"request admitted", "request sent", "result=not_run status=503", "code=backend_full", "verdict=not_run"},
		},
		{
			"no server", "/unsafe/x", nil, true,
			[]string{"request admitted", "code=no_backend_server", "verdict=not_run"},
		},
		{
			"truncated stream", "/stream/x", func(r *http.Request, _ string) string { return streamStart(r, "id: 1\n\n") + closeAfter }, false,
			[]string{"request sent", "result=failed status=200", "cut=true", "verdict=ran"},
		},
		{
			"unsafe request with unknown outcome", "/unsafe/x", func(*http.Request, string) string { return "" }, false,
			[]string{"request sent", "error=", "result=no_answer", "code=backend_failed", "verdict=may_have_run"},
		},
		{
			"safe request retried at another server", "/safe/x", func(*http.Request, string) string { return "" }, false,
			[]string{"request sent", "result=no_answer", "request retried at another server", "may_have_run=true", "request sent", "code=backend_failed"},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var servers []*backend
			if !tc.noServer {
				servers = append(servers, newBackend(t, tc.script), newBackend(t, tc.script))
			}
			if tc.path != "/safe/x" && !tc.noServer {
				servers = servers[:1]
			}
			b := newFixture(t, servers...)
			out := &logOutput{}
			b.gw.cfg.Logger = slog.New(slog.NewJSONHandler(out, nil))
			b.gw.cfg.Metrics = telemetry.NewRegistry(telemetry.DefaultMaxSeries)
			_, _, _ = b.do(http.MethodPost, tc.path) // some cases end in an error
			b.http.Close()                           // returns after the request has been logged
			var reader explain.Reader
			if err := reader.Read(strings.NewReader(out.String())); err != nil {
				t.Fatal(err)
			}
			timeline, err := reader.Timeline("id-1")
			if err != nil {
				t.Fatal(err)
			}
			var text strings.Builder
			if err := timeline.Write(&text); err != nil {
				t.Fatal(err)
			}
			rest := text.String()
			for _, want := range tc.want {
				_, after, ok := strings.Cut(rest, want)
				if !ok {
					t.Fatalf("%q is missing or out of order in\n%s", want, text.String())
				}
				rest = after
			}
			var metrics strings.Builder
			if err := b.gw.cfg.Metrics.WriteText(&metrics); err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(metrics.String(), "guavastack_gateway_requests") {
				t.Error("metrics lack guavastack_gateway_requests, want the request counted")
			}
		})
	}
}
