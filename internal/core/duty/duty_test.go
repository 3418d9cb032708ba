package duty

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/fleet"
	"github.com/guavastack/guavastack/internal/core/state"
)

func apply(t *testing.T, m *Module, c Command) Result {
	t.Helper()
	data, err := Encode(c, "test", 5)
	if err != nil {
		t.Fatal(err)
	}
	var cmd state.Command
	if err := json.Unmarshal(data, &cmd); err != nil {
		t.Fatal(err)
	}
	out, err := m.Apply(3, cmd)
	if err != nil {
		t.Fatal(err)
	}
	var result Result
	if err := json.Unmarshal(out, &result); err != nil {
		t.Fatal(err)
	}
	return result
}

func start(id, zone string) Order { return Order{ID: id, Kind: StartServer, Model: "m", Zone: zone} }

func stop(id, server string) Order {
	return Order{ID: id, Kind: StopServer, Model: "m", Server: server}
}

// TestResultCodesOfCommands applies the steps of each case to a module and checks the code of the last step.
func TestResultCodesOfCommands(t *testing.T) {
	takeOver := func(above uint64) Command {
		return Command{TakeOver: &TakeOver{Holder: "c", Term: 1, Above: above}}
	}
	intend := func(fencing uint64, o Order) Command { return Command{Intend: &Intend{Fencing: fencing, Order: o}} }
	settle := func(fencing uint64, id string, s Status) Command {
		return Command{Settle: &Settle{Fencing: fencing, ID: id, Status: s, Server: "s"}}
	}
	change := func(id string, version uint64, s fleet.Settings) Command {
		return Command{Change: &Change{ID: id, IfMatch: version, Settings: s}}
	}
	paused := fleet.Settings{Paused: true}
	tests := []struct {
		name  string
		steps []Command
		want  string
		open  int
	}{
		{"intent", []Command{takeOver(0), intend(1, start("x", "a"))}, CodeOK, 1},
		{"intent repeated under its id", []Command{takeOver(0), intend(1, start("x", "a")), intend(1, start("x", "a"))}, CodeOK, 1},
		{"another intent under the id", []Command{takeOver(0), intend(1, start("x", "a")), intend(1, start("x", "b"))}, CodeDuplicate, 1},
		{"intent with an older fencing token", []Command{takeOver(0), takeOver(0), intend(1, start("x", "a"))}, CodeSuperseded, 0},
		{"fencing token above all that were seen", []Command{takeOver(8), intend(9, start("x", "a"))}, CodeOK, 1},
		{"fencing token that was not issued yet", []Command{intend(1, start("x", "a"))}, CodeSuperseded, 0},
		{"settled", []Command{takeOver(0), intend(1, start("x", "a")), settle(1, "x", Done)}, CodeOK, 0},
		{"settled with an older fencing token", []Command{takeOver(0), intend(1, start("x", "a")), takeOver(0), settle(1, "x", Done)}, CodeSuperseded, 1},
		{"settled, unknown order", []Command{takeOver(0), settle(1, "x", Done)}, CodeUnknown, 0},
		{"second stop of a server", []Command{takeOver(0), intend(1, stop("x", "s")), intend(1, stop("y", "s"))}, CodeDuplicate, 1},
		{"stop after a refused stop", []Command{takeOver(0), intend(1, stop("x", "s")), settle(1, "x", Refused), intend(1, stop("y", "s"))}, CodeOK, 1},
		{"settings", []Command{change("1", 0, paused)}, CodeOK, 0},
		{"settings of an older version", []Command{change("1", 0, paused), change("2", 0, paused)}, CodeConflict, 0},
		{"settings of any version", []Command{change("1", 0, paused), {Change: &Change{ID: "2", AnyVersion: true}}}, CodeOK, 0},
		{"settings resent", []Command{change("1", 0, paused), change("2", 1, paused), change("1", 0, paused)}, CodeOK, 0},
		{"other settings under the change id", []Command{change("1", 0, paused), change("1", 0, fleet.Settings{})}, CodeChangeReuse, 0},
		{"inconsistent settings", []Command{change("1", 0, fleet.Settings{Pools: []fleet.Pool{{}}})}, CodeInvalid, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := NewModule()
			var last Result
			for _, c := range tt.steps {
				last = apply(t, m, c)
			}
			if last.Code != tt.want || len(m.Open()) != tt.open {
				t.Errorf("got code %s, %d open; want %s, %d", last.Code, len(m.Open()), tt.want, tt.open)
			}
		})
	}
}

func TestFirstOutcomeIsFinal(t *testing.T) {
	m := NewModule()
	apply(t, m, Command{TakeOver: &TakeOver{}})
	apply(t, m, Command{Intend: &Intend{Fencing: 1, Order: start("x", "a")}})
	apply(t, m, Command{Settle: &Settle{Fencing: 1, ID: "x", Status: Done, Server: "s"}})
	apply(t, m, Command{Settle: &Settle{Fencing: 1, ID: "x", Status: Refused}})
	if o := m.Orders()[0]; o.Status != Done || o.Server != "s" {
		t.Errorf("got order %+v, want it done, with server s", o)
	}
}

func TestPruneKeepsOpenOrders(t *testing.T) {
	m := NewModule()
	apply(t, m, Command{TakeOver: &TakeOver{}})
	apply(t, m, Command{Intend: &Intend{Fencing: 1, Order: start("open", "a")}})
	for i := range keptOrders + 5 {
		id := string(rune('A' + i))
		apply(t, m, Command{Intend: &Intend{Fencing: 1, Order: start(id, "a")}})
		apply(t, m, Command{Settle: &Settle{Fencing: 1, ID: id, Status: Refused}})
	}
	if open := m.Open(); len(open) != 1 || len(m.Orders()) > keptOrders+2 {
		t.Errorf("got %d open of %d orders, want the open one and not many more than keptOrders", len(open), len(m.Orders()))
	}
}

func TestRestoreKeepsState(t *testing.T) {
	m := NewModule()
	apply(t, m, Command{TakeOver: &TakeOver{Above: 4}})
	apply(t, m, Command{Intend: &Intend{Fencing: 5, Order: start("x", "a")}})
	apply(t, m, Command{Change: &Change{ID: "1", Settings: fleet.Settings{DryRun: true}}})
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewModule()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(data, again) {
		t.Errorf("got snapshot %[2]s after the restore, %[3]v, want %[1]s", data, again, err)
	}
	if r := apply(t, restored, Command{TakeOver: &TakeOver{}}); r.Fencing != 6 {
		t.Errorf("got fencing token %d after the restore, want 6", r.Fencing)
	}
}

func TestCallDeadline(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	timing := DefaultTiming()
	tests := []struct {
		name      string
		remaining time.Duration
		want      time.Duration
		ok        bool
	}{
		{"longest call", timing.Lease, timing.MaxCallDuration, true},
		{"end of the lease", timing.MaxCallDuration / 2, timing.MaxCallDuration / 2, true},
		{"shortest call", timing.MinCallDuration, timing.MinCallDuration, true},
		{"too little left", timing.MinCallDuration - 1, 0, false},
		{"expired", -time.Hour, 0, false},
	}
	for _, tt := range tests {
		deadline, ok := timing.CallDeadline(now, Lease{Expires: now.Add(tt.remaining)})
		if ok != tt.ok || ok && deadline.Sub(now) != tt.want {
			t.Errorf("%s: deadline in %v, ok %v", tt.name, deadline.Sub(now), ok)
		}
	}
	if timing.TakeoverWait() < timing.Lease+timing.MaxCallDuration+timing.Drift {
		t.Errorf("takeover wait %v is shorter than lease, longest call and drift", timing.TakeoverWait())
	}
}
