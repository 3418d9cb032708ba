// Package link carries requests between entries and the agents beside backend servers.
//
// A link is one long drpc stream over one TCP connection; its frames carry request ids, so that many requests share it.
// The entry's side is a Pool, the agent's side is a Server. The Pool finds silent links by heartbeats, opens a new
// link of a higher epoch and settles what was in flight: a request that the agent knows is resumed from its next
// sequence number, one that the agent proves it never took is sent again, and the rest may have run.
package link
