package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/guavastack/guavastack/internal/telemetry"
)

// TestMetricsByStage plays one request of each kind and reads what the metrics say of them, as an engineer would.
func TestMetricsByStage(t *testing.T) {
	lost := func(*http.Request, string) string { return closeAfter }
	cases := []struct {
		name   string
		path   string
		script func(r *http.Request, body string) string
		want   []string // beginnings of lines in the text form
	}{
		{"served", "/safe/x", func(r *http.Request, _ string) string { return whole(r, 200, seal, "x") }, []string{
			`guavastack_gateway_requests{class="safe",organisation="one",result="served",verdict="ran"} 1`,
			`guavastack_gateway_tries{class="safe",result="served"} 1`,
			`guavastack_gateway_queue_us_count{class="safe"} 1`,
			`guavastack_gateway_first_us_count{class="safe"} 1`,
			`guavastack_gateway_total_us_count{class="safe"} 1`,
			`guavastack_gateway_keys_fresh_ms 1000`,
			`guavastack_gateway_catalog_version 1`,
			`guavastack_gateway_servers{health="good"} 1`,
		}},
		{"a stream", "/stream/x", func(r *http.Request, _ string) string {
			return chunks(r, "id: 1\n\n") + chunks1("id: 2\n\n") + lastChunk
		}, []string{
			`guavastack_gateway_first_us_count{class="stream"} 1`,
			`guavastack_gateway_requests{class="stream",organisation="one",result="served",verdict="ran"} 1`,
		}},
		{"refused with a wrong key", "/safe/x?wrong", nil, []string{
			`guavastack_gateway_refusals{class="safe",reason="invalid_key"} 1`,
			`guavastack_gateway_requests{class="safe",organisation="",result="invalid_key",verdict="not_run"} 1`,
		}},
		{"an unknown outcome", "/unsafe/x", lost, []string{
			`guavastack_gateway_requests{class="unsafe",organisation="one",result="backend_failed",verdict="may_have_run"} 1`,
			`guavastack_gateway_tries{class="unsafe",result="no_answer"} 1`,
		}},
		{"no budget for a further try", "/safe/x", lost, []string{
			`guavastack_gateway_no_budget{service="app"} 1`,
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, newBackend(t, c.script))
			b.gw.cfg.Metrics = telemetry.NewRegistry(telemetry.DefaultMaxSeries)
			b.gw.budgets = newBudgets(0)
			if c.name == "no budget for a further try" {
				for range 2 { // what needs no requests to pay for it
					b.gw.budgets.take("app")
				}
			}
			b.gw.showState()
			_, _, _ = b.get(http.MethodPost, c.path, func(r *http.Request) {
				if strings.HasSuffix(c.path, "wrong") {
					r.Header.Set("X-Key", "wrong")
				}
			}) // some answers break off
			new(healthWatch).observe(b.gw)
			var text strings.Builder
			if err := b.gw.cfg.Metrics.WriteText(&text); err != nil {
				t.Fatal(err)
			}
			for _, line := range c.want {
				if !strings.Contains(text.String(), "\n"+line) {
					t.Errorf("no line %s in\n%s", line, text.String())
				}
			}
		})
	}
}

// chunks1 is one further piece of a stream.
func chunks1(piece string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece) }
