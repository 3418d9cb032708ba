package limit

import "time"

const (
	// turnTime and turnIntervals are the time for which a turn can be used: an absolute time and a number of the rate's intervals. A
	// longer time loses fewer turns to a lack of requests, but more processes may use theirs at the same moment.
	turnTime      = time.Second
	turnIntervals = 2
	// minSpacing is the minimum time between two requests of a process, as a share of the time between its turns: the turns of a rate
	// that has changed are others.
	minSpacing = 0.8
	// minTurnInterval is the interval of turns below which a rate is not divided.
	minTurnInterval = 10 * time.Microsecond
	// AssumedProcesses is the number of processes that is assumed until it is known.
	AssumedProcesses = 16
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
	interval := time.Duration(float64(time.Second) / perSecond)
	if interval < minTurnInterval {
		return true
	}
	count := int64(max(t.Count, 1))
	n := wall.UnixNano() / int64(interval)
	since := (n + int64(offset%uint64(count)) - int64(t.Position)) % count // turns of other processes since this one's last began
	if since < 0 {
		since += count
	}
	began := time.Unix(0, (n-since)*int64(interval))
	if wall.Sub(began) >= turnTime+turnIntervals*interval || !began.After(last) {
		return false
	}
	return float64(wall.Sub(last)) >= minSpacing*float64(count)*float64(interval)
}
