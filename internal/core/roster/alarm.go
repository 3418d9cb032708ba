package roster

import "time"

const (
	// FirstAlarmPause is the least time between two warnings about a condition. Each further pause is twice as long while the condition
	// lasts and gets no worse.
	FirstAlarmPause = 2 * time.Second
	// MaxAlarmPause is the greatest time between two warnings about a condition that lasts.
	MaxAlarmPause = time.Minute
)

// Notice is what is to be reported of a condition.
type Notice uint8

const (
	// NoNotice means that there is nothing to report.
	NoNotice Notice = iota
	// Warn means that the condition has begun, has become worse, or has lasted for another pause.
	Warn
	// Over means that a condition of which there was a warning has ended.
	Over
)

// Alarm bounds the number of warnings about a condition that lasts or recurs.
type Alarm struct {
	// Grace is how long the condition must last before the first warning.
	Grace time.Duration

	since  time.Time // zero: the condition does not hold
	warned time.Time // latest warning, of this condition or an earlier one
	pause  time.Duration
	worst  int // highest level of which there was a warning since the condition began; 0: none
}

// Observe records the level of the condition: 0 if it does not hold, and the higher the worse it is. It returns what is to be reported, and
// for how long the condition has lasted.
func (a *Alarm) Observe(now time.Time, level int) (Notice, time.Duration) {
	if level <= 0 {
		return a.end(now)
	}
	if a.since.IsZero() {
		a.since, a.worst = now, 0
	}
	lasted := a.Lasted(now)
	if level > a.worst {
		a.pause = FirstAlarmPause
	}
	if lasted < a.Grace || !a.warned.IsZero() && now.Sub(a.warned) < a.pause {
		return NoNotice, lasted
	}
	if level <= a.worst {
		a.pause = min(2*a.pause, MaxAlarmPause)
	}
	a.warned, a.worst = now, max(a.worst, level)
	return Warn, lasted
}

func (a *Alarm) end(now time.Time) (Notice, time.Duration) {
	lasted, hasWarned := a.Lasted(now), a.worst > 0
	a.since, a.worst = time.Time{}, 0
	if !hasWarned {
		return NoNotice, lasted
	}
	return Over, lasted
}

// Lasted returns for how long the condition has lasted; 0 if it does not hold.
func (a *Alarm) Lasted(now time.Time) time.Duration {
	if a.since.IsZero() {
		return 0
	}
	return now.Sub(a.since)
}
