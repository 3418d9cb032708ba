package raft

import "time"

const maxRounds = 1024 // maximum number of heartbeat rounds whose send time is kept

// rounds records when the heartbeat rounds of one term were sent.
type rounds struct {
	last uint64 // number of the latest round; the first is 1
	sent []time.Time
}

func (r *rounds) start(now time.Time) {
	r.last++
	r.sent = append(r.sent, now)
	if len(r.sent) > maxRounds {
		r.sent = append([]time.Time(nil), r.sent[maxRounds/2:]...)
	}
}

// sentAt returns when a round was sent, or false if that is no longer recorded.
func (r *rounds) sentAt(round uint64) (time.Time, bool) {
	first := r.last - uint64(len(r.sent)) + 1
	if round < first || round > r.last {
		return time.Time{}, false
	}
	return r.sent[round-first], true
}
