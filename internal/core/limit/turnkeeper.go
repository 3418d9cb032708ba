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
	joinedAt    time.Time // when the control group first confirmed anything to the process; zero: not yet
	confirmedAt time.Time // when it last confirmed the turns; zero: not yet
}

// NewTurnKeeper returns the keeper of a process that doesn't know its position. The draw, for example a hash of its id, spreads such
// processes over the positions.
func NewTurnKeeper(draw uint64) TurnKeeper {
	return TurnKeeper{turns: Turns{Position: int(draw % AssumedProcesses), Count: AssumedProcesses}}
}

// Confirm returns the keeper after the control group stated the position of the process among count processes at now. The count is 0 if
// the group knows this process and not all others yet.
func (k TurnKeeper) Confirm(now time.Time, position, count int) TurnKeeper {
	if k.joinedAt.IsZero() {
		k.joinedAt = now
	}
	if count > 0 {
		k.turns, k.confirmedAt = Turns{Position: position, Count: count}, now
	}
	return k
}

// At returns the turns of the process at now. A process that has joined only now, or whose position was not confirmed recently, uses
// every fourth of its turns and none of another process.
func (k TurnKeeper) At(now time.Time) Turns {
	if k.confirmedAt.IsZero() {
		return k.turns
	}
	if now.Sub(k.joinedAt) >= joinTime && now.Sub(k.confirmedAt) < turnsLifetime {
		return k.turns
	}
	return Turns{Position: k.turns.Position, Count: cautiousFactor * k.turns.Count}
}
