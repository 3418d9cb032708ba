package entry

import (
	"testing"

	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// usageDirectory knows of an open window.
type usageDirectory struct {
	Directory
	open uint64
}

func (d *usageDirectory) OpenWindow() uint64 { return d.open }

// TestUsageDeliveredDuringAReportIsKept delivers between a report and its acknowledgement, while the watch has not
// told of the next window yet.
func TestUsageDeliveredDuringAReportIsKept(t *testing.T) {
	d := &usageDirectory{open: 3}
	m := newUsageMeter(Config{ID: "e", Incarnation: "1"}, d)
	x := &exchange{organisation: "o", class: settings.Class{Name: "c"}, model: "m"}
	m.add(x, delivered{requests: 1, outputTokens: 10})
	report := m.snapshot(3)
	m.add(x, delivered{requests: 1, outputTokens: 5})
	m.forget(report, &controlpb.UsageAck{OpenWindow: 4, Accepted: true, SettledWindow: 3})
	m.add(x, delivered{requests: 1, outputTokens: 2})

	tokens := make(map[uint64]uint64)
	for _, c := range m.snapshot(3).Counters {
		tokens[c.Window] += c.OutputTokens
	}
	if tokens[3] != 15 || tokens[4] != 2 {
		t.Errorf("tokens by window %v, want 15 in window 3 and 2 in window 4", tokens)
	}
	m.forget(m.snapshot(4), &controlpb.UsageAck{OpenWindow: 5, Accepted: true, SettledWindow: 4})
	if r := m.snapshot(5); r != nil {
		t.Errorf("settled counters kept: %v", r.Counters)
	}
}
