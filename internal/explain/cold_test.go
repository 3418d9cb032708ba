package explain_test

import (
	"strings"
	"testing"

	"github.com/guavastack/guavastack/internal/explain"
)

const coldLog = `{"time":"2026-01-01T00:00:01Z","msg":"backend server counts as cold","process":"gw","backend_server":"s1","cause":"report"}
{"time":"2026-01-01T00:00:02Z","msg":"backend server counts as cold","process":"gw","backend_server":"s2","cause":"answer"}
{"time":"2026-01-01T00:00:03Z","msg":"backend server counts as cold","process":"gw","backend_server":"s3","cause":"report"}
{"time":"2026-01-01T00:00:04Z","msg":"backend server no longer counts as cold","process":"gw","backend_server":"s3"}
{"time":"2026-01-01T00:00:05Z","msg":"backend server counts as cold","process":"other","backend_server":"s1","cause":"unreachable"}
{"time":"2026-01-01T00:00:30Z","msg":"request sent","process":"gw","request_id":"r1","backend_server":"s1"}
{"time":"2026-01-01T00:00:40Z","msg":"request ended","process":"gw","request_id":"r2","status":503,"code":"backend_cold"}
`

// TestColdServersOfRequest checks that a request's timeline names the servers that had been cold for long: those that it was sent to, or
// all if it was refused for that.
func TestColdServersOfRequest(t *testing.T) {
	for request, want := range map[string][]string{"r1": {"s1 cause=report"}, "r2": {"s1 cause=report", "s2 cause=answer"}} {
		var r explain.Reader
		if err := r.Read(strings.NewReader(coldLog)); err != nil {
			t.Fatal(err)
		}
		timeline, err := r.Timeline(request)
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if err := timeline.Write(&out); err != nil {
			t.Fatal(err)
		}
		if got := strings.Count(out.String(), "counts as cold"); got != len(want) {
			t.Errorf("%s: %d lines about cold servers, want %d:\n%s", request, got, len(want), out.String())
		}
		for _, text := range want {
			if !strings.Contains(out.String(), "backend_server="+text) {
				t.Errorf("%s: %q is missing in\n%s", request, text, out.String())
			}
		}
	}
}
