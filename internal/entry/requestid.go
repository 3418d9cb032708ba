package entry

import (
	"strings"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

// idSeparator separates the parts of a request id. Agent ids do not contain it.
const idSeparator = "~"

// requestID identifies a request and the agent that holds its answer, so that any entry can fetch the answer.
type requestID struct {
	unique           string
	agent            string // empty before the first dispatch
	agentIncarnation string
}

func newRequestID() requestID { return requestID{unique: uuid.NewString()} }

// withAgent returns the id for an attempt at the given agent.
func (id requestID) withAgent(agent, incarnation string) requestID {
	id.agent = agent
	id.agentIncarnation = incarnation
	return id
}

// String returns the form that callers and agents see.
func (id requestID) String() string {
	if id.agent == "" {
		return id.unique
	}
	return id.unique + idSeparator + id.agent + idSeparator + id.agentIncarnation
}

// parseRequestID is the inverse of String for ids that name an agent.
func parseRequestID(s string) (requestID, error) {
	parts := strings.Split(s, idSeparator)
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return requestID{}, errors.NotValidf("request id %q", s)
	}
	return requestID{unique: parts[0], agent: parts[1], agentIncarnation: parts[2]}, nil
}
