package limit

import (
	"testing"
	"time"
)

// TestTurnsOfProcessThatJoinsOrIsCutOff guards against a sum above the rate while the processes don't agree on their number: one that
// has just started, and one whose turns are given to others because the control group doesn't hear of it.
func TestTurnsOfProcessThatJoinsOrIsCutOff(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	k := NewTurnKeeper(1_000_003)
	if got := k.At(start); got.Count != AssumedProcesses || got.Position != 1_000_003%AssumedProcesses {
		t.Errorf("turns %+v before the first confirmation, want one of %d positions", got, AssumedProcesses)
	}
	k = k.Confirm(start, 5, 31)
	cases := []struct {
		name      string
		after     time.Duration
		confirmed bool
		want      Turns
	}{
		{"has just joined", joinTime - 1, false, Turns{Position: 5, Count: cautiousFactor * 31}},
		{"known to the others", joinTime, true, Turns{Position: 5, Count: 31}},
		{"confirmed recently", joinTime + turnsLifetime - 1, false, Turns{Position: 5, Count: 31}},
		{"cut off", joinTime + turnsLifetime, false, Turns{Position: 5, Count: cautiousFactor * 31}},
		{"confirmed again", joinTime + turnsLifetime + 1, true, Turns{Position: 5, Count: 31}},
	}
	for _, c := range cases {
		now := start.Add(c.after)
		if c.confirmed {
			k = k.Confirm(now, 5, 31)
		}
		if got := k.At(now); got != c.want {
			t.Errorf("%s: turns %+v, want %+v", c.name, got, c.want)
		}
	}
	early := NewTurnKeeper(7).Confirm(start, 0, 0)
	if got := early.At(start.Add(time.Hour)); got.Count != AssumedProcesses {
		t.Errorf("turns %+v while the control group doesn't know all processes, want one of %d positions", got, AssumedProcesses)
	}
	if got, want := early.Confirm(start.Add(joinTime), 2, 4).At(start.Add(joinTime)), (Turns{Position: 2, Count: 4}); got != want {
		t.Errorf("turns %+v of a process that the control group has known for long, want %+v", got, want)
	}
	if turnsLifetime >= ShareLifetime {
		t.Error("the control group gives the turns to others before the process uses fewer")
	}
}

// TestFewerTurnsAreOwnTurns checks that a process that uses fewer turns uses none of another process.
func TestFewerTurnsAreOwnTurns(t *testing.T) {
	const rate, offset = 15, 9
	all, fewer := Turns{Position: 3, Count: 8}, Turns{Position: 3, Count: cautiousFactor * 8}
	for ms := range 20_000 {
		wall := time.Unix(1_700_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
		if fewer.IsTurnWithin(wall, time.Time{}, rate, offset, 0) && !all.IsTurnWithin(wall, time.Time{}, rate, offset, 0) {
			t.Fatalf("%v is a turn of another process", wall)
		}
	}
}

// TestNextTurn checks that the time until the next turn leads to a turn, and that none comes earlier.
func TestNextTurn(t *testing.T) {
	const rate, usable = 15, 250 * time.Millisecond
	for _, count := range []int{1, 8, 31} {
		turns := Turns{Position: count / 2, Count: count}
		last := time.Unix(1_700_000_123, 456)
		for wall := last; wall.Before(last.Add(10 * time.Second)); wall = wall.Add(7 * time.Millisecond) {
			next := turns.NextTurn(wall, last, rate, 5, usable)
			if !turns.IsTurnWithin(wall.Add(next), last, rate, 5, usable) {
				t.Fatalf("%d processes, %v after the last request: no turn after %v", count, wall.Sub(last), next)
			}
			for d := time.Duration(0); d < next-time.Millisecond; d += time.Millisecond {
				if turns.IsTurnWithin(wall.Add(d), last, rate, 5, usable) {
					t.Fatalf("%d processes: a turn comes after %v already, not only after %v", count, d, next)
				}
			}
		}
	}
}
