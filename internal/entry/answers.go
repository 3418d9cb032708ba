package entry

import (
	"net/http"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
)

// serveAnswer sends the answer of an earlier request again, from the agent that keeps it. Only the organisation that
// asked may fetch it, by any of its keys and through any entry.
func (s *Server) serveAnswer(w http.ResponseWriter, r *http.Request) {
	x, server, ref := s.understandAnswer(r)
	if ref != nil {
		s.refuse(w, newRequestID(), nil, ref)
		return
	}
	ctx, cancel := exchangeContext(r.Context(), x)
	defer cancel(nil)
	if !s.active.add(x, cancel) {
		s.refuse(w, x.id, x, refuse(http.StatusServiceUnavailable, "entry_full", "the entry serves as many requests as it can"))
		return
	}
	defer s.active.remove(x)

	answer := newAnswerWriter(w, s.cfg.WriteTimeout)
	result := s.fetch(ctx, x, x.id, server, answer, false)
	if result.complete {
		answer.finish()
		return
	}
	answer.fail(x.id, result.err)
}

// understandAnswer finds whose answer is asked for and which agent keeps it.
func (s *Server) understandAnswer(r *http.Request) (*exchange, route.Backend, *refusal) {
	if ref := s.admit(false); ref != nil {
		return nil, route.Backend{}, ref
	}
	tree := s.dir.Tree()
	who, ref := s.identify(tree, r)
	if ref != nil {
		return nil, route.Backend{}, ref
	}
	id, err := parseRequestID(r.PathValue("id"))
	if err != nil {
		return nil, route.Backend{}, refuse(http.StatusBadRequest, "invalid_request_id", "%v", err)
	}
	server, ok := s.fleet.Find(id.agent)
	if !ok || server.Incarnation != id.agentIncarnation {
		return nil, route.Backend{}, refuse(http.StatusNotFound, "answer_not_kept", "the answer is not kept any more")
	}
	class, ref := resolveClass(tree, who.organisation, "")
	if ref != nil {
		return nil, route.Backend{}, ref
	}
	return &exchange{
		id:           id,
		received:     time.Now(),
		organisation: who.organisation,
		keyHash:      who.keyHash,
		class:        class,
		model:        server.Model,
	}, server, nil
}
