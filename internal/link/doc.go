// Package link transports requests between entries and the agents of backend servers.
//
// A link is one long-lived drpc stream over one TCP connection; its frames carry request ids, so that it multiplexes
// many requests. The entry uses a Pool, the agent a Server. The Pool detects silent links by heartbeats, opens a new link
// with a higher epoch and reconciles the requests in flight: a request that the agent has a record of is resumed at its
// next sequence number, one that the agent provably never accepted is sent again, and any other ends with the verdict
// MayHaveRun.
package link
