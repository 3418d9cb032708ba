package route

import "time"

// ServerState is a process's view of one backend server: its health and the observations behind it.
type ServerState struct {
	ID     string
	Health Health

	Failures       float64       // moving average of the share of failed attempts
	FirstTokenWait time.Duration // moving average of the time to the first token; 0: none yet
	InFlight       int           // requests of this process in flight
	SilentFor      time.Duration // time without any data while requests of this process are in flight
	RateLimit      float64       // stated by the server, requests per second from all processes; 0: none
	Cold           Coldness
}

// Health determines how much work a backend server gets from this process.
type Health string

// Values of Health.
const (
	HealthGood        Health = "good"
	HealthQuarantined Health = "aside"   // quarantined: no requests for a time
	HealthProbing     Health = "probing" // one request at a time
	HealthSilent      Health = "silent"  // no new requests until it sends data again
)

// States returns the states of all ready backend servers, in no particular order.
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
		FirstTokenWait: time.Duration(s.health.firstToken * float64(time.Second)), SilentFor: s.silence(now),
		RateLimit: s.limit.perSecond, Cold: s.coldness(now),
	}
	switch {
	case s.health.state == quarantined:
		state.Health = HealthQuarantined
	case s.health.state == probing:
		state.Health = HealthProbing
	case s.isSilent(now):
		state.Health = HealthSilent
	}
	return state
}
