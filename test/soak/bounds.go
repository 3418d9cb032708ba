package main

import "time"

// Bounds that the users state for a small deployment.
const (
	contactTime   = 3 * time.Second         // without a disturbance, until rules with a time bound hold
	recoveryBound = 12 * time.Second        // from the last start after the final fault until service is back
	applyBound    = 2 * time.Second         // from an acknowledgement until the version is in force
	revokeBound   = 5 * time.Second         // from an acknowledgement until a key that it took away is refused
	graceTime     = 8 * time.Second         // from SIGTERM to SIGKILL
	listLag       = 3 * time.Second         // of the operator's list
	beatInterval  = 1200 * time.Millisecond // of a backend server
	reportWindow  = 5 * time.Second
	leaseSpacing  = 3 * time.Second
	memoryLimitMB = 134
	retryRatio    = 0.2
)

const (
	// leaderAge is the age of a leader in the case LeaderAged: more than the time in which a member that doesn't answer is removed.
	leaderAge = 6500 * time.Millisecond
	// runTimeout bounds one run, whatever happens.
	runTimeout = 4 * time.Minute
	// firstTimeout bounds the time until the first configuration is acknowledged and served.
	firstTimeout = 20 * time.Second
)
