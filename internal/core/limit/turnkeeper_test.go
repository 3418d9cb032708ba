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
		{"has just joined", joinTime - 1, false, Turns{Position: 5 + 31, Count: cautiousFactor * 31}},
		{"known to the others", joinTime, true, Turns{Position: 5, Count: 31}},
		{"confirmed recently", joinTime + turnsLifetime - 1, false, Turns{Position: 5, Count: 31}},
		{"cut off", joinTime + turnsLifetime, false, Turns{Position: 5 + 31, Count: cautiousFactor * 31}},
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
	k = k.Confirm(start.Add(time.Minute), 5, 31).Confirm(start.Add(time.Minute), 6, 40)
	for after, want := range map[time.Duration]Turns{
		changeTime - 1: {Position: 6 + 2*40, Count: cautiousFactor * 40}, changeTime: {Position: 6, Count: 40},
	} {
		if got := k.At(start.Add(time.Minute + after)); got != want {
			t.Errorf("%v after a change: turns %+v, want %+v", after, got, want)
		}
	}
	rejoined := k.Confirm(start.Add(2*time.Minute), 6, 40).Confirm(start.Add(2*time.Minute+ShareLifetime), 6, 40)
	for after, want := range map[time.Duration]Turns{
		changeTime - 1: {Position: 6 + 2*40, Count: cautiousFactor * 40}, changeTime: {Position: 6, Count: 40},
	} {
		if got := rejoined.At(start.Add(2*time.Minute + ShareLifetime + after)); got != want {
			t.Errorf("%v after the first confirmation since its turns were given to others: turns %+v, want %+v", after, got, want)
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

// TestFewerTurns checks that processes that use fewer turns use none of another process, and that many of them together don't use theirs
// one after the other without a pause.
func TestFewerTurns(t *testing.T) {
	const rate, offset, count, length = 15, 9, 8, 20 * time.Second
	start := time.Unix(1_700_000_000, 0)
	var sent []time.Time
	last := make([]time.Time, count)
	for wall := start; wall.Before(start.Add(length)); wall = wall.Add(time.Millisecond) {
		for i := range count {
			all := Turns{Position: i, Count: count}
			if !all.fewer().IsTurnWithin(wall, last[i], rate, offset, 0) {
				continue
			}
			if !all.IsTurnWithin(wall, time.Time{}, rate, offset, 0) {
				t.Fatalf("%v after the start is a turn of another process than %d", wall.Sub(start), i)
			}
			last[i] = wall
			sent = append(sent, wall)
		}
	}
	if want := rate * length.Seconds() / cautiousFactor; float64(len(sent)) < 0.8*want || float64(len(sent)) > 1.2*want {
		t.Errorf("%d requests of all processes in %v, want about %.0f", len(sent), length, want)
	}
	worst, first := 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	if worst > 9 {
		t.Errorf("%d requests in one second at a quarter of %d, want 9 at most", worst, rate)
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
