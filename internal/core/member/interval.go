package member

import "time"

const (
	// loadUpdateBytes is the size on the wire of one load update of a backend server.
	loadUpdateBytes = 110
	// loadUpdateBudget is the bandwidth for load updates on an entry's link to the control group, in bytes a second.
	loadUpdateBudget = 1000
	// minLoadInterval is the minimum time between two load updates of one backend server.
	minLoadInterval = time.Second
)

// LoadUpdateInterval returns the minimum time between two load updates of one backend server, given the number of backend
// servers whose load is sent to an entry. It grows with that number, so that the updates stay within their bandwidth.
// Answers carry the load of busy servers sooner; the registry's updates matter for servers that an entry has not used
// recently.
func LoadUpdateInterval(servers int) time.Duration {
	interval := time.Duration(servers) * loadUpdateBytes * time.Second / loadUpdateBudget
	return max(interval, minLoadInterval)
}
