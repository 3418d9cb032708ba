package control_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/control/controltest"
	"github.com/guavastack/guavastack/internal/core/zonedrain"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// zoneService returns a service of a group of one member, with its counters and log. It is not run: orders need no background work.
func zoneService(zones []string, group func(*controltest.Member) control.Group) (s *control.Service, m *controltest.Member, metrics *telemetry.Registry, log *bytes.Buffer) {
	m = controltest.New(1).Members[0]
	metrics, log = telemetry.NewRegistry(telemetry.DefaultMaxSeries), &bytes.Buffer{}
	s = control.New(control.Config{
		Group: group(m), Settings: m.Settings, ZoneDrains: m.Drains, Zones: zones, Metrics: metrics, Logger: slog.New(slog.NewTextHandler(log, nil)),
	})
	return s, m, metrics, log
}

func itself(m *controltest.Member) control.Group { return m }

// TestOrdersOnUnknownZones checks which zones are accepted with and without a list of the known ones.
func TestOrdersOnUnknownZones(t *testing.T) {
	long := strings.Repeat("z", zonedrain.MaxZoneBytes+1)
	for _, c := range []struct {
		name    string
		zones   []string
		zone    string
		unknown bool // ErrUnknownZone
		fails   bool
	}{
		{"no list", nil, "x", false, false},
		{"listed", []string{"a", "b"}, "b", false, false},
		{"not listed", []string{"a", "b"}, "c", true, true},
		{"no list, name too long", nil, long, false, true},
		{"not listed, name too long", []string{"a"}, long, false, true},
		{"no name", nil, "", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, m, metrics, log := zoneService(c.zones, itself)
			err := s.OrderZoneDrain(t.Context(), c.zone, true, "operator")
			if (err != nil) != c.fails || errors.Is(err, control.ErrUnknownZone) != c.unknown {
				t.Errorf("got error %v, want one: %v, for an unknown zone: %v", err, c.fails, c.unknown)
			}
			if drained := m.Drains.List().Find(c.zone) != nil; drained == c.fails {
				t.Errorf("got drained %v, want %v", drained, !c.fails)
			}
			result, lines := "committed", []string{"zone drain ordered", "zone drain committed", "ordered_by=operator"}
			if c.fails {
				result, lines = "refused", nil
			}
			var text bytes.Buffer
			if err := metrics.WriteText(&text); err != nil {
				t.Fatal(err)
			}
			if want := `guavastack_zone_drain_orders{result="` + result + `"} 1`; !strings.Contains(text.String(), want) {
				t.Errorf("got metrics\n%s\nwant %s", text.String(), want)
			}
			for _, line := range lines {
				if !strings.Contains(log.String(), line) {
					t.Errorf("got log\n%s\nwant a line with %q", log.String(), line)
				}
			}
		})
	}
}

// Guards against a drain that cannot be withdrawn because the settings no longer list its zone.
func TestDrainOfZoneThatIsNoLongerListed(t *testing.T) {
	s, m, _, _ := zoneService(nil, itself)
	if err := s.OrderZoneDrain(t.Context(), "former", true, "operator"); err != nil {
		t.Fatal(err)
	}
	s = control.New(control.Config{
		Group: m, Settings: m.Settings, ZoneDrains: m.Drains, Zones: []string{"a"}, Logger: slog.New(slog.DiscardHandler),
	})
	if err := s.OrderZoneDrain(t.Context(), "former", false, "operator"); err != nil {
		t.Errorf("got error %v for the end of the drain, want none", err)
	}
	if m.Drains.List().Find("former") != nil {
		t.Error("the zone is still drained")
	}
}

// Guards against an order that is acknowledged though its time was over before it was proposed.
func TestOrderWhoseTimeIsOver(t *testing.T) {
	s, m, _, _ := zoneService(nil, itself)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := s.OrderZoneDrain(ctx, "a", true, "operator"); !errors.Is(err, control.ErrOrderNotCommitted) {
		t.Errorf("got error %v, want %v", err, control.ErrOrderNotCommitted)
	}
	if m.Drains.Revision("a") != 0 {
		t.Error("the order was proposed")
	}
}

// overtakingGroup withdraws an order while its proposal is under way, and lets the proposal take some time.
type overtakingGroup struct {
	*controltest.Member
	takes    time.Duration
	overtake func()
}

func (g *overtakingGroup) Propose(ctx context.Context, data []byte) (control.Outcome, error) {
	if overtake := g.overtake; overtake != nil {
		g.overtake = nil
		overtake()
		time.Sleep(g.takes)
	}
	return g.Member.Propose(ctx, data)
}

// Guards against an order that a paused member renews after a newer one: the operator has repeated it elsewhere and withdrawn it since. An
// order that is overtaken while its caller still waits is given after the other one.
func TestOvertakenOrderIsRenewedOnlyInTime(t *testing.T) {
	const timeout = 900 * time.Millisecond
	for _, c := range []struct {
		name    string
		takes   time.Duration
		drained bool
	}{
		{"in time", timeout / 2, true},
		{"too late", timeout + time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &overtakingGroup{takes: c.takes}
				s, m, _, _ := zoneService(nil, func(m *controltest.Member) control.Group {
					g.Member = m
					return g
				})
				g.overtake = func() {
					for _, drained := range []bool{true, false} {
						if err := s.OrderZoneDrain(t.Context(), "a", drained, "operator"); err != nil {
							t.Fatal(err)
						}
					}
				}
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				err := s.OrderZoneDrain(ctx, "a", true, "operator")
				if (err == nil) != c.drained {
					t.Errorf("got error %v, want none: %v", err, c.drained)
				}
				if got := m.Drains.List().Find("a") != nil; got != c.drained {
					t.Errorf("got drained %v, want %v", got, c.drained)
				}
			})
		})
	}
}
