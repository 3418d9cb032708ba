package limit

import "time"

const (
	// TurnTime and turnIntervals are the time for which a turn can be used: an absolute time and a number of the rate's intervals. A
	// longer time loses fewer turns to a lack of requests, but more processes may use theirs at the same moment.
	TurnTime      = time.Second
	turnIntervals = 2
	// minSpacing is the minimum time between two requests of a process, as a share of the time between its turns: the turns of a rate
	// that has changed are others.
	minSpacing = 0.8
	// minTurnInterval is the interval of turns below which a rate is not divided.
	minTurnInterval = 10 * time.Microsecond
	// AssumedProcesses is the number of processes that is assumed until it is known. With 16, 31 processes that restart together
	// would exceed a rate twofold.
	AssumedProcesses = 64
)

// Turns divides a rate among processes that share a clock but no memory: the turns of the rate follow each other at its interval and
// go round the processes. A process may send one request in each of its turns and saves none up, so that the sum stays within the
// rate also if all processes begin to send at the same moment.
type Turns struct {
	Position int // of this process, from 0
	Count    int // of the processes
}

// IsTurn reports whether the process may send a request at wall, a time of the shared clock, if it sent the last one at last. The rate
// is in requests per second. offset shifts the turns, so that the processes come in another order for each thing that is limited.
func (t Turns) IsTurn(wall, last time.Time, perSecond float64, offset uint64) bool {
	return t.IsTurnWithin(wall, last, perSecond, offset, TurnTime)
}

// IsTurnWithin is IsTurn with the time for which a turn can be used, instead of TurnTime. All processes together send at most
// perSecond * (1 + usable in seconds) + 3 requests in any second.
func (t Turns) IsTurnWithin(wall, last time.Time, perSecond float64, offset uint64, usable time.Duration) bool {
	interval := time.Duration(float64(time.Second) / perSecond)
	if interval < minTurnInterval {
		return true
	}
	began := t.lastTurn(wall, interval, offset)
	if wall.Sub(began) >= usable+turnIntervals*interval || !began.After(last) {
		return false
	}
	return wall.Sub(last) >= t.spacing(interval)
}

// NextTurn returns the time until the process may send a request, if it sent the last one at last. The turns of offset at perSecond are
// those of IsTurnWithin.
func (t Turns) NextTurn(wall, last time.Time, perSecond float64, offset uint64, usable time.Duration) time.Duration {
	interval := time.Duration(float64(time.Second) / perSecond)
	if interval < minTurnInterval {
		return 0
	}
	cycle := time.Duration(max(t.Count, 1)) * interval
	earliest := last.Add(t.spacing(interval))
	if earliest.Before(wall) {
		earliest = wall
	}
	began := t.lastTurn(wall, interval, offset)
	if late := earliest.Sub(began); late >= cycle {
		began = began.Add(late / cycle * cycle)
	}
	for !began.After(last) || earliest.Sub(began) >= usable+turnIntervals*interval {
		began = began.Add(cycle)
	}
	if began.After(earliest) {
		earliest = began
	}
	return earliest.Sub(wall)
}

// lastTurn returns when the last turn of the process began.
func (t Turns) lastTurn(wall time.Time, interval time.Duration, offset uint64) time.Time {
	count := int64(max(t.Count, 1))
	n := wall.UnixNano() / int64(interval)
	since := (n + int64(offset%uint64(count)) - int64(t.Position)) % count // turns of other processes since this one's last began
	if since < 0 {
		since += count
	}
	return time.Unix(0, (n-since)*int64(interval))
}

// spacing returns the minimum time between two requests of the process.
func (t Turns) spacing(interval time.Duration) time.Duration {
	return time.Duration(minSpacing * float64(max(t.Count, 1)) * float64(interval))
}
