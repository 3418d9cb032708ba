package gateway

import (
	"io"
	"log/slog"
	"net/http"
	"testing"

	"github.com/guavastack/guavastack/internal/telemetry"
)

// BenchmarkRequest measures one request through a gateway to a backend server on the loopback interface, with metrics, and with
// and without logs. The difference is the cost of the logs of a fully logged request.
func BenchmarkRequest(b *testing.B) {
	for _, level := range []string{"info", "error"} {
		b.Run("log="+level, func(b *testing.B) {
			writer := telemetry.NewAsyncWriter(io.Discard)
			defer writer.Close()
			logger, err := telemetry.NewLimitedLogger(writer, level)
			if err != nil {
				b.Fatal(err)
			}
			benchRequests(b, logger)
		})
	}
}

func benchRequests(b *testing.B, logger *slog.Logger) {
	server := newBackend(b, func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "x") })
	gw := newFixture(b, server)
	gw.gw.cfg.Logger = logger
	gw.gw.cfg.Metrics = telemetry.NewRegistry(telemetry.DefaultMaxSeries)
	b.ResetTimer()
	for range b.N {
		if _, _, err := gw.do(http.MethodGet, "/safe/x"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRequestThatMayBeHedged measures the same without logs, with hedged requests on. There is one server, so that none is hedged.
func BenchmarkRequestThatMayBeHedged(b *testing.B) {
	server := newBackend(b, func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "x") })
	gw := newFixture(b, server)
	gw.gw.cfg.Metrics = telemetry.NewRegistry(telemetry.DefaultMaxSeries)
	gw.gw.hedges = newHedges(0.1)
	b.ResetTimer()
	for range b.N {
		if _, _, err := gw.do(http.MethodGet, "/safe/x"); err != nil {
			b.Fatal(err)
		}
	}
}
