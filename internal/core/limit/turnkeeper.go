package limit

import "time"

const (
	// joinTime is the time after the first confirmation of its position in which a process uses fewer turns: the others learn of it
	// with their next freshness query, once a second, and of a process at another control member with that member's next digest.
	joinTime = 3 * time.Second
	// changeTime is the time after a change of its turns in which a process uses fewer of them: the others change theirs within two
	// seconds, and until then some turns are used by the old number and some by the new one.
	changeTime = 2 * time.Second
	// turnsLifetime is the time without a confirmation after which a process uses fewer turns: the control group gives its turns to
	// others after ShareLifetime.
	turnsLifetime = 2 * ShareLifetime / 3
	// reassignedAfter is the time without a confirmation after which the next one counts as a change, even to the same turns: they may
	// have been given to others. It is shorter than ShareLifetime because the control group counts from an earlier query.
	reassignedAfter = 5 * ShareLifetime / 6
	// cautiousFactor divides the turns of a process that can't be sure that the others leave it its turns. With a quarter, the sum of
	// all processes stays below 1.25 times the rate while any of them are cut off.
	cautiousFactor = 4
)

// TurnKeeper knows the turns of one process over time. The zero value is not valid; NewTurnKeeper returns one.
type TurnKeeper struct {
	turns       Turns
	joinedAt    time.Time // when the control group first confirmed anything to the process; zero: not yet
	changedAt   time.Time // when the turns last changed or were reassigned; zero: not since they are known
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
	if count <= 0 {
		return k
	}
	turns := Turns{Position: position, Count: count}
	if !k.confirmedAt.IsZero() && (turns != k.turns || now.Sub(k.confirmedAt) >= reassignedAfter) {
		k.changedAt = now
	}
	k.turns, k.confirmedAt = turns, now
	return k
}

// At returns the turns of the process at now. A process that has just joined, or whose position has changed or was not confirmed
// recently, uses every fourth of its turns and none of another process.
func (k TurnKeeper) At(now time.Time) Turns {
	if k.confirmedAt.IsZero() {
		return k.turns
	}
	if now.Sub(k.joinedAt) >= joinTime && now.Sub(k.changedAt) >= changeTime && now.Sub(k.confirmedAt) < turnsLifetime {
		return k.turns
	}
	return k.turns.fewer()
}

// fewer returns every cautiousFactor-th turn of t. Processes with adjacent positions use theirs in different rounds: in the same one, they
// would send as closely as with all of their turns.
func (t Turns) fewer() Turns {
	round := t.Position % cautiousFactor
	return Turns{Position: t.Position + round*t.Count, Count: cautiousFactor * t.Count}
}
