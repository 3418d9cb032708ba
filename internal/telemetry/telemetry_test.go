package telemetry

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

func TestSeriesAreBounded(t *testing.T) {
	r := NewRegistry(10)
	for i := range 100 {
		r.Counter("requests", Label{"organisation", fmt.Sprint(i)}).Inc(1)
	}
	samples := r.Samples()
	if len(samples) != 11 {
		t.Fatalf("got %d series, want 11: 10 and one for the other label values", len(samples))
	}
	var total int64
	for _, s := range samples {
		total += *s.Value
	}
	if total != 100 {
		t.Errorf("got a total of %d, want 100", total)
	}
}

func TestWriteTextParses(t *testing.T) {
	r := NewRegistry(DefaultMaxSeries)
	r.Counter("retries").Inc(3)
	r.Observe("first_token_us", 1500*time.Microsecond, Label{"organisation", `a"b`}, Label{"class", "chat"})
	r.Observe("first_token_us", 2500*time.Microsecond, Label{"organisation", "c"}, Label{"class", "chat"})
	var buf bytes.Buffer
	if err := r.WriteText(&buf); err != nil {
		t.Fatal(err)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(&buf)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(families["guavastack_first_token_us"].GetMetric()); got != 2 {
		t.Errorf("got %d series of first_token_us, want 2", got)
	}
	if got := families["guavastack_retries"].GetMetric()[0].GetCounter().GetValue(); got != 3 {
		t.Errorf("got retries %v, want 3", got)
	}
}

func TestReadyz(t *testing.T) {
	for _, ready := range []bool{true, false} {
		rec := httptest.NewRecorder()
		Readyz(func() (bool, string) { return ready, "no settings yet" })(rec, httptest.NewRequest("GET", "/readyz", nil))
		if (rec.Code == 200) != ready {
			t.Errorf("ready %v: got status %d, want 200 only if ready", ready, rec.Code)
		}
	}
}

func TestNewLoggerRejectsUnknownLevel(t *testing.T) {
	if _, err := NewLogger(&bytes.Buffer{}, "loud"); err == nil || !strings.Contains(err.Error(), "loud") {
		t.Errorf("got error %v, want one that names the level", err)
	}
}
