package limit

import "time"

const (
	// joinTime is the time after the first confirmation of its position in which a process uses fewer turns: the others learn of it
	// with their next freshness query, once a second, and of a process at another control member with that member's next digest.
	joinTime = 3 * time.Second
	// turnsLifetime is the time without a confirmation after which a process uses fewer turns: the control group gives its turns to
	// others after ShareLifetime.
	turnsLifetime = 2 * ShareLifetime / 3
	// cautiousFactor divides the turns of a process that can't be sure that the others leave it its turns. With a quarter, the sum of
	// all processes stays below 1.25 times the rate while any of them are cut off.
	cautiousFactor = 4
)

// TurnKeeper knows the turns of one process over time. The zero value is not valid; NewTurnKeeper returns one.
type TurnKeeper struct {
	turns       Turns
	firstAt     time.Time // of the first confirmation; zero: none yet
	confirmedAt time.Time // of the last one
}

// NewTurnKeeper returns the keeper of a process that doesn't know its position. The draw, for example a hash of its id, spreads such
// processes over the positions.
func NewTurnKeeper(draw uint64) TurnKeeper {
	return TurnKeeper{turns: Turns{Position: int(draw % AssumedProcesses), Count: AssumedProcesses}}
}

// Confirm returns the keeper after the control group stated the position of the process among count processes at now.
func (k TurnKeeper) Confirm(now time.Time, position, count int) TurnKeeper {
	if k.firstAt.IsZero() {
		k.firstAt = now
	}
	k.turns, k.confirmedAt = Turns{Position: position, Count: count}, now
	return k
}

// At returns the turns of the process at now. A process that has joined only now, or whose position was not confirmed recently, uses
// every fourth of its turns and none of another process.
func (k TurnKeeper) At(now time.Time) Turns {
	if k.firstAt.IsZero() {
		return k.turns
	}
	if now.Sub(k.firstAt) >= joinTime && now.Sub(k.confirmedAt) < turnsLifetime {
		return k.turns
	}
	return Turns{Position: k.turns.Position, Count: cautiousFactor * k.turns.Count}
}
