package member

import "time"

const (
	// loadUpdateBytes is the size of one update of a backend server's load on its way to an entry.
	loadUpdateBytes = 110
	// loadUpdateBudget is what updates of load may take of an entry's link to the control group, in bytes a second.
	loadUpdateBudget = 1000
	// minLoadInterval is the least time between two updates of one backend server.
	minLoadInterval = time.Second
)

// LoadInterval returns the least time between two updates of the load of one backend server, given the number of
// backend servers that an entry hears of. It grows with them, so that the updates stay within their budget: answers
// bring the load of busy servers sooner, and what the registry tells is for servers that an entry has not used lately.
func LoadInterval(servers int) time.Duration {
	interval := time.Duration(servers) * loadUpdateBytes * time.Second / loadUpdateBudget
	return max(interval, minLoadInterval)
}
