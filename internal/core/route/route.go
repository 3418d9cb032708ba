// Package route chooses the backend server of a request in named stages: filter, score, pick.
//
// The data store (Table) is apart from the decision (Router). Neither reads a clock nor is safe for concurrent use.
package route
