package explain_test

import (
	"strings"
	"testing"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/explain"
)

// gatewayLog and controlLog are the logs of a gateway and of a control member whose clock is 40 ms behind.
const gatewayLog = `{"time":"2026-01-01T00:00:00.5Z","level":"INFO","msg":"backend server","process":"gw","backend_server":"s2","lifecycle":"leaving"}
{"time":"2026-01-01T00:00:01.000Z","level":"WARN","msg":"request admitted","process":"gw","request_id":"r1","class":"chat"}
12.5 gw/x {"time":"2026-01-01T00:00:01.001Z","level":"WARN","msg":"request sent","process":"gw","request_id":"r1","backend_server":"s1"}
no log line
{"time":"2026-01-01T00:00:01.400Z","level":"WARN","msg":"request ended","process":"gw","request_id":"r1","status":502,"code":"backend_failed"}
{"time":"2026-01-01T00:00:01.300Z","level":"WARN","msg":"try ended","process":"gw","request_id":"r1","backend_server":"s1","result":"no_answer"}
{"time":"2026-01-01T00:00:01.200Z","level":"WARN","msg":"request ended","process":"gw","request_id":"r2","status":200}
{"time":"2026-01-01T00:00:09.000Z","level":"INFO","msg":"much later","process":"gw"}
`

const controlLog = `{"time":"2026-01-01T00:00:00.96Z","level":"INFO","msg":"backend server","process":"ctl","backend_server":"s1","lifecycle":"gone","sequence":353445120}
{"time":"2026-01-01T00:00:00.97Z","level":"INFO","msg":"other","process":"ctl"}
`

func readLogs(t *testing.T) *explain.Reader {
	t.Helper()
	var r explain.Reader
	for _, log := range []string{controlLog, gatewayLog} {
		if err := r.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	return &r
}

func TestLinesAndContextOfRequest(t *testing.T) {
	timeline, err := readLogs(t).Timeline("r1")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := timeline.Write(&out); err != nil {
		t.Fatal(err)
	}
	rest := out.String()
	for _, want := range []string{
		"request r1", "request admitted class=chat", "request sent backend_server=s1", "try ended backend_server=s1 result=no_answer",
		"request ended code=backend_failed status=502", "meanwhile", "backend server backend_server=s1 lifecycle=gone sequence=353445120",
	} {
		_, after, ok := strings.Cut(rest, want)
		if !ok {
			t.Fatalf("%q is missing or out of order in\n%s", want, out.String())
		}
		rest = after
	}
	for _, unrelated := range []string{"r2", "s2", "much later", "other"} {
		if strings.Contains(out.String(), unrelated) {
			t.Errorf("output contains %q, which does not concern the request:\n%s", unrelated, out.String())
		}
	}
}

func TestUnknownRequestIsNotFound(t *testing.T) {
	r := readLogs(t)
	if _, err := r.Timeline("r9"); !errors.Is(err, explain.ErrNotFound) {
		t.Errorf("got error %v, want %v", err, explain.ErrNotFound)
	}
	if r.Skipped() != 1 {
		t.Errorf("got %d skipped lines, want 1", r.Skipped())
	}
}

// hedgedLog is the log of a request that was sent to a second server, which answered first.
const hedgedLog = `{"time":"2026-01-01T00:00:01.000Z","level":"INFO","msg":"request sent","process":"gw","request_id":"h1","backend_server":"s1","try":1}
{"time":"2026-01-01T00:00:01.050Z","level":"INFO","msg":"request sent","process":"gw","request_id":"h1","backend_server":"s2","try":2,"hedges":"s1","after_ms":50}
{"time":"2026-01-01T00:00:01.060Z","level":"INFO","msg":"backend server","process":"ctl","backend_server":"s2","lifecycle":"ready"}
{"time":"2026-01-01T00:00:01.070Z","level":"INFO","msg":"try ended","process":"gw","request_id":"h1","backend_server":"s1","result":"cancelled"}
{"time":"2026-01-01T00:00:01.070Z","level":"INFO","msg":"hedge decided","process":"gw","request_id":"h1","backend_server":"s2","result":"won"}
{"time":"2026-01-01T00:00:01.075Z","level":"INFO","msg":"try ended","process":"gw","request_id":"h1","backend_server":"s2","result":"served"}
`

// TestBothSendsOfAHedgedRequest checks that both servers and the reason of the second send are shown, and what concerns either server.
func TestBothSendsOfAHedgedRequest(t *testing.T) {
	var r explain.Reader
	if err := r.Read(strings.NewReader(hedgedLog)); err != nil {
		t.Fatal(err)
	}
	timeline, err := r.Timeline("h1")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := timeline.Write(&out); err != nil {
		t.Fatal(err)
	}
	rest := out.String()
	for _, want := range []string{
		"request sent backend_server=s1 try=1", "request sent after_ms=50 backend_server=s2 hedges=s1 try=2",
		"try ended backend_server=s1 result=cancelled", "hedge decided backend_server=s2 result=won", "try ended backend_server=s2 result=served",
		"meanwhile", "backend server backend_server=s2 lifecycle=ready",
	} {
		_, after, ok := strings.Cut(rest, want)
		if !ok {
			t.Fatalf("%q is missing or out of order in\n%s", want, out.String())
		}
		rest = after
	}
}
