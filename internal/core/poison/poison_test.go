package poison

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/state"
)

// Parts of the tests.
const (
	common  uint64 = 1 // first part of all prompts
	bad     uint64 = 2 // crashes servers
	session uint64 = 3 // a rare sound part
)

// apply applies commands at a wall clock time in milliseconds.
func apply(t *testing.T, m *Module, atMS int64, commands ...Command) {
	t.Helper()
	for _, c := range commands {
		body, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := m.Apply(1, state.Command{AtMS: atMS, Body: body}); err != nil {
			t.Fatal(err)
		}
	}
}

// crashed returns the report of a crash with parts of which no answer has begun, in the order of the prompt.
func crashed(server string, atMS int64, parts ...uint64) Command {
	c := ServerCrash{Crash: Crash{Server: server, AtMS: atMS}}
	for depth, part := range parts {
		c.Parts = append(c.Parts, CrashedPart{Part: part, Depth: depth})
	}
	return Command{Crashes: []ServerCrash{c}}
}

func settled(uint64) bool { return true }

// TestNextToBlock checks which part is blocked after a series of reports.
func TestNextToBlock(t *testing.T) {
	cases := []struct {
		name     string
		commands []Command
		want     uint64 // 0: none
	}{
		{"two crashes", []Command{crashed("a", 0, bad), crashed("b", 1000, bad)}, 0},
		{"three crashes", []Command{crashed("a", 0, bad), crashed("b", 1000, bad), crashed("c", 2000, bad)}, bad},
		{"one crash as seen by three gateways", []Command{crashed("a", 0, bad), crashed("a", 400, bad), crashed("a", 800, bad)}, 0},
		{"servers that crash together", []Command{crashed("a", 0, bad), crashed("b", 20, bad), crashed("c", 40, bad), crashed("d", 60, bad)}, 0},
		{"reports in another order", []Command{crashed("c", 2000, bad), crashed("a", 0, bad), crashed("b", 1000, bad)}, bad},
		{
			"answered in between",
			[]Command{crashed("a", 0, session), crashed("b", 1000, session), {Answered: []uint64{session}}, crashed("c", 2000, session)},
			0,
		},
		{
			"begun before, then three crashes",
			[]Command{crashed("a", 0, session), {Begun: []uint64{session}}, crashed("b", 1000, session), crashed("c", 2000, session)},
			0,
		},
		{
			"begun before, then five crashes",
			[]Command{
				crashed("a", 0, session),
				{Begun: []uint64{session}},
				crashed("b", 1000, session), crashed("c", 2000, session),
				crashed("d", 3000, session), crashed("e", 4000, session),
			},
			session,
		},
		{
			"parts that always come together: the last one",
			[]Command{crashed("a", 0, common, bad), crashed("b", 1000, common, bad), crashed("c", 2000, common, bad)},
			bad,
		},
		{
			"first part with changing second parts",
			[]Command{crashed("a", 0, bad, 11), crashed("b", 1000, bad, 12), crashed("c", 2000, bad, 13)},
			bad,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := NewModule()
			apply(t, m, 5000, c.commands...)
			var got uint64
			if next := m.List().NextToBlock(settled); next != nil {
				got = next.Part
			}
			if got != c.want {
				t.Errorf("part to block %d, want %d; list %+v", got, c.want, m.List().Suspects)
			}
			if m.List().NextToBlock(func(uint64) bool { return false }) != nil {
				t.Error("a part is to be blocked before gateways could report answers")
			}
		})
	}
}

// TestBlockedPartExplainsCrashes checks that the crashes under a blocked part count against no other part, whenever they are reported.
func TestBlockedPartExplainsCrashes(t *testing.T) {
	m := NewModule()
	apply(t, m, 3000,
		crashed("a", 0, common, bad), crashed("a", 0, common, session), crashed("b", 1000, common, bad), crashed("c", 2000, common, bad),
		Command{Block: []uint64{bad}},
		crashed("d", 2500, common, bad), crashed("d", 2500, common, session), // sent before the part was blocked
		crashed("c", 2000, session),
	)
	list := m.List()
	if len(list.Suspects) != 1 || list.Suspects[0].Part != bad || !list.Suspects[0].IsBlocked() {
		t.Errorf("list %+v, want the blocked part only", list.Suspects)
	}
	if list.Blocked([]uint64{common, session}) != nil || list.Blocked([]uint64{common, bad}) == nil {
		t.Error("the wrong requests are blocked")
	}
}

// TestLateAnswerUnblocks checks that a blocked part is cleared by an answer to a request that was sent before.
func TestLateAnswerUnblocks(t *testing.T) {
	m := NewModule()
	apply(t, m, 3000, crashed("a", 0, session), Command{Block: []uint64{session}}, Command{Answered: []uint64{session}})
	if s := m.List().Find(session); s != nil {
		t.Errorf("the part is still listed: %+v", s)
	}
}

// TestExpiry checks when parts are removed from the list.
func TestExpiry(t *testing.T) {
	m := NewModule()
	apply(t, m, 1000, crashed("a", 0, bad), crashed("b", -500, session), crashed("c", 0, session), Command{Block: []uint64{bad}})
	unblockedAt, forgottenAt := 1000+BlockTime.Milliseconds(), suspicionTime.Milliseconds()
	for _, c := range []struct {
		atMS             int64
		suspect, blocked bool
	}{
		{forgottenAt - 1, true, true}, {forgottenAt, false, true}, {unblockedAt - 1, false, true}, {unblockedAt, false, false},
	} {
		before := m.List()
		apply(t, m, c.atMS, Command{Expire: true})
		list := m.List()
		if got := list.Find(session) != nil; got != c.suspect {
			t.Errorf("at %d ms: suspect listed %v, want %v", c.atMS, got, c.suspect)
		}
		if got := list.Blocked([]uint64{bad}) != nil; got != c.blocked {
			t.Errorf("at %d ms: part blocked %v, want %v", c.atMS, got, c.blocked)
		}
		if due := before.HasExpired(c.atMS); due != (len(list.Suspects) < len(before.Suspects)) {
			t.Errorf("at %d ms: HasExpired %v does not tell whether a part is removed", c.atMS, due)
		}
	}
}

// TestCrashesTogetherChangeNoList checks that gateways are told of no part that was only in use when servers crashed together: the reports
// of hundreds of gateways must not be sent to each of them.
func TestCrashesTogetherChangeNoList(t *testing.T) {
	m := NewModule()
	for gateway := range uint64(300) {
		apply(t, m, 1000, crashed(fmt.Sprint("server-", gateway%30), 900+int64(gateway%30), common, 100+gateway%200))
	}
	if list := m.List(); list.Version != 0 || len(list.Suspects) != 0 {
		t.Errorf("version %d with %d parts, want an empty list", list.Version, len(list.Suspects))
	}
	apply(t, m, 3000, crashed("another", 2900, common, 100))
	if list := m.List(); list.Version != 1 || list.Find(common) == nil || list.Find(100) == nil || len(list.Suspects) != 2 {
		t.Errorf("list %+v after another crash, want its two parts", list)
	}
	apply(t, m, 3100, crashed("another", 2900, common, 100), crashed("a third", 3050, common))
	if list := m.List(); list.Version != 1 || len(list.Find(common).Crashes) <= 2 {
		t.Errorf("version %d, want no new one for further crashes of the same parts, but the crashes themselves", list.Version)
	}
}

// TestListIsBounded checks that many suspects displace those with the fewest crashes, never a blocked part.
func TestListIsBounded(t *testing.T) {
	m := NewModule()
	apply(t, m, 1000, crashed("a", 0, bad), Command{Block: []uint64{bad}}, crashed("b", 0, session), crashed("c", 500, session))
	for part := range uint64(2 * maxSuspects) {
		apply(t, m, 1000, crashed("d", 900, 100+part))
	}
	list := m.List()
	if len(list.Suspects) > maxSuspects || list.Find(bad) == nil || list.Find(session) == nil {
		t.Errorf("%d parts listed, blocked part %v, suspect with two crashes %v", len(list.Suspects), list.Find(bad), list.Find(session))
	}
}

// TestListSurvivesSnapshot checks that a restored module goes on as before, also within a whole state machine.
func TestListSurvivesSnapshot(t *testing.T) {
	m := NewModule()
	apply(t, m, 3000, crashed("a", 0, common, bad), crashed("b", 1000, bad), Command{Block: []uint64{bad}}, crashed("c", 2000, session))
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewModule()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for _, module := range []*Module{m, restored} {
		apply(t, module, 4000, crashed("d", 3000, session), crashed("b", 900, common))
	}
	before, _ := m.Snapshot()
	after, _ := restored.Snapshot()
	if string(before) != string(after) {
		t.Errorf("the restored module differs:\n%s\n%s", before, after)
	}
}

// TestSnapshotOfEarlierVersion checks that a state machine restores a snapshot that lacks the module.
func TestSnapshotOfEarlierVersion(t *testing.T) {
	older, err := state.New()
	if err != nil {
		t.Fatal(err)
	}
	data, err := older.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	m := NewModule()
	apply(t, m, 0, crashed("a", 0, bad))
	newer, err := state.New(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := newer.Restore(data); err != nil {
		t.Fatal(err)
	}
	if got := len(m.List().Suspects); got != 0 {
		t.Errorf("%d suspects after the restore, want none", got)
	}
}

// TestOnePartCrashesServersAmongSoundTraffic plays requests with one part that crashes each server, among sound requests that share
// their first part and hundreds of sessions that share their second one. The part must be blocked after five crashes at most or in
// DecisionTime, and no other.
func TestOnePartCrashesServersAmongSoundTraffic(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		length   = 60 * time.Second
		warmUp   = 5 * time.Second
		lasting  = 400 * time.Millisecond // of a sound request
		servers  = 12
		sessions = 300
		soundHz  = 80.0
	)
	type request struct {
		server int
		ends   time.Duration
		second uint64
	}
	for _, badHz := range []float64{0.3, 1, 3} {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			m := NewModule()
			answered := make(map[uint64]bool) // since the start
			listed := make(FirstSeen)
			var running []request
			crashes := 0
			var fifth time.Duration
			for now := time.Duration(0); now < length; now += step {
				ms := now.Milliseconds()
				running = slices.DeleteFunc(running, func(r request) bool {
					if r.ends > now {
						return false
					}
					for _, part := range []uint64{common, r.second} {
						answered[part] = true
						if _, ok := listed[part]; ok {
							apply(t, m, ms, Command{Answered: []uint64{part}})
						}
					}
					return true
				})
				if random.Float64() < soundHz*step.Seconds() {
					second := 100 + random.Uint64N(sessions)
					if m.List().Blocked([]uint64{common, second}) == nil {
						running = append(running, request{random.IntN(servers), now + lasting, second})
					}
				}
				if now > warmUp && random.Float64() < badHz*step.Seconds() && m.List().Blocked([]uint64{common, bad}) == nil {
					crashes++
					if crashes == 5 {
						fifth = now
					}
					if crashes > 5 && now-fifth > 2*DecisionTime {
						t.Fatalf("%v a second, seed %d: %d crashes, the last one %v after the fifth", badHz, seed, crashes, now-fifth)
					}
					server := random.IntN(servers)
					report := ServerCrash{Crash: Crash{Server: now.String(), AtMS: ms}, Parts: []CrashedPart{{common, 0, answered[common]}, {bad, 1, false}}}
					running = slices.DeleteFunc(running, func(r request) bool {
						if r.server != server {
							return false
						}
						report.Parts = append(report.Parts, CrashedPart{r.second, 1, answered[r.second]})
						return true
					})
					apply(t, m, ms, Command{Crashes: []ServerCrash{report}})
				}
				list := m.List()
				wall := time.UnixMilli(ms)
				listed.Update(list, wall)
				if next := list.NextToBlock(func(part uint64) bool { return wall.Sub(listed[part]) >= DecisionTime }); next != nil {
					if next.Part != bad {
						t.Fatalf("%v a second, seed %d: sound part %d is blocked after %d crashes", badHz, seed, next.Part, crashes)
					}
					apply(t, m, ms, Command{Block: []uint64{next.Part}})
				}
			}
			if m.List().Blocked([]uint64{bad}) == nil {
				t.Errorf("%v a second, seed %d: not blocked after %d crashes", badHz, seed, crashes)
			}
		}
	}
}
