package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/guavastack/guavastack/internal/telemetry"
)

// TestRequestMetrics checks the exported metrics after one request of each kind.
func TestRequestMetrics(t *testing.T) {
	lost := func(*http.Request, string) string { return closeAfter }
	cases := []struct {
		name   string
		path   string
		script func(r *http.Request, body string) string
		want   []string // prefixes of lines in the text format
	}{
		{"served", "/safe/x", func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal, "x") }, []string{
			`guavastack_gateway_requests{class="safe",organisation="one",result="served",verdict="ran"} 1`,
			`guavastack_gateway_tries{class="safe",result="served"} 1`,
			`guavastack_gateway_queue_us_count{class="safe"} 1`,
			`guavastack_gateway_first_us_count{class="safe"} 1`,
			`guavastack_gateway_total_us_count{class="safe"} 1`,
			`guavastack_gateway_keys_fresh_ms 1000`,
			`guavastack_gateway_catalog_version 1`,
			`guavastack_gateway_servers{health="good"} 1`,
		}},
		{"stream", "/stream/x", func(r *http.Request, _ string) string {
			return streamStart(r, "id: 1\n\n") + nextChunk("id: 2\n\n") + lastChunk
		}, []string{
			`guavastack_gateway_first_us_count{class="stream"} 1`,
			`guavastack_gateway_requests{class="stream",organisation="one",result="served",verdict="ran"} 1`,
		}},
		{"server with a rate limit", "/safe/x", func(r *http.Request, _ string) string { return fullAnswer(r, 200, seal+"X-Limit: 1.5\r\n", "x") }, []string{
			`guavastack_gateway_limited_servers 1`,
		}},
		{"wrong key", "/safe/x?wrong", nil, []string{
			`guavastack_gateway_refusals{class="safe",reason="invalid_key"} 1`,
			`guavastack_gateway_requests{class="safe",organisation="",result="invalid_key",verdict="not_run"} 1`,
		}},
		{"unknown outcome", "/unsafe/x", lost, []string{
			`guavastack_gateway_requests{class="unsafe",organisation="one",result="backend_failed",verdict="may_have_run"} 1`,
			`guavastack_gateway_tries{class="unsafe",result="no_answer"} 1`,
		}},
		{"retry budget exhausted", "/safe/x", lost, []string{
			`guavastack_gateway_no_budget{service="app"} 1`,
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t, newBackend(t, c.script))
			b.gw.cfg.Metrics = telemetry.NewRegistry(telemetry.DefaultMaxSeries)
			b.gw.budgets = newBudgets(0)
			if c.name == "retry budget exhausted" {
				for range 2 { // uses up the budget that exists without requests
					b.gw.budgets.take("app")
				}
			}
			b.gw.registerGauges()
			_, _, _ = b.do(http.MethodPost, c.path, func(r *http.Request) {
				if strings.HasSuffix(c.path, "wrong") {
					r.Header.Set("X-Key", "wrong")
				}
			}) // some answers are truncated
			new(healthMonitor).observe(b.gw)
			var text strings.Builder
			if err := b.gw.cfg.Metrics.WriteText(&text); err != nil {
				t.Fatal(err)
			}
			for _, line := range c.want {
				if !strings.Contains(text.String(), "\n"+line) {
					t.Errorf("want a line that begins with %s, got\n%s", line, text.String())
				}
			}
		})
	}
}

// nextChunk returns one more chunk of a streamed answer.
func nextChunk(piece string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece) }
