package member

import (
	"testing"
	"time"
)

func TestLoadUpdateIntervalStaysWithinBandwidth(t *testing.T) {
	tests := []struct {
		servers int
		want    time.Duration
	}{
		{0, time.Second},
		{9, time.Second},
		{21, 2310 * time.Millisecond},
		{257, 28270 * time.Millisecond},
	}
	for _, tt := range tests {
		got := LoadUpdateInterval(tt.servers)
		if got != tt.want {
			t.Errorf("LoadUpdateInterval(%d) = %v, want %v", tt.servers, got, tt.want)
		}
		if rate := float64(tt.servers*loadUpdateBytes) / got.Seconds(); rate > loadUpdateBudget {
			t.Errorf("updates of %d servers use %.0f bytes a second, more than %d", tt.servers, rate, loadUpdateBudget)
		}
	}
}
