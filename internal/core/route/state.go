package route

import "time"

// ServerState is what a process holds of one backend server, and what it goes by.
type ServerState struct {
	ID     string
	Health Health

	Failures  float64       // moving share of the tries that failed
	FirstWait time.Duration // moving average of the time to the beginning of an answer; 0: none yet
	InFlight  int           // own requests there
	SilentFor time.Duration // since anything was heard, while own requests are there
}

// Health says how much work a backend server gets from this process.
type Health string

// Values of Health.
const (
	HealthGood    Health = "good"
	HealthAside   Health = "aside"   // no work for a time
	HealthProbing Health = "probing" // one request at a time
	HealthSilent  Health = "silent"  // no new work before it is heard again
)

// States returns the states of all backend servers that are ready, in no order.
func (t *Table) States(now time.Time) []ServerState {
	states := make([]ServerState, 0, len(t.servers))
	for _, s := range t.servers {
		if s.Lifecycle == LifecycleReady {
			states = append(states, s.state(now))
		}
	}
	return states
}

func (s *server) state(now time.Time) ServerState {
	state := ServerState{
		ID: s.ID, Health: HealthGood, Failures: s.health.failures, InFlight: s.inFlight,
		FirstWait: time.Duration(s.health.firstToken * float64(time.Second)), SilentFor: s.silence(now),
	}
	switch {
	case s.health.state == aside:
		state.Health = HealthAside
	case s.health.state == probing:
		state.Health = HealthProbing
	case s.isSilent(now):
		state.Health = HealthSilent
	}
	return state
}
