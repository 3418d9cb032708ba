package entry

import (
	"net/http"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
)

// serveAnswer sends the stored answer of an earlier request, fetched from the agent that keeps it. Only the organisation
// that sent the request may fetch it, with any of its keys and through any entry.
func (s *Server) serveAnswer(w http.ResponseWriter, r *http.Request) {
	x, server, ref := s.resolveAnswer(r)
	if ref != nil {
		s.refuse(w, newRequestID(), nil, ref)
		return
	}
	ctx, cancel := exchangeContext(r.Context(), x)
	defer cancel(nil)
	if !s.active.add(x, cancel) {
		s.refuse(w, x.id, x, refuse(http.StatusServiceUnavailable, "entry_full", "the entry has reached its limit of requests in progress"))
		return
	}
	defer s.active.remove(x)

	answer := newAnswerWriter(w, s.cfg.WriteTimeout)
	result := s.fetchAnswer(ctx, x, x.id, server, answer, false)
	if result.complete {
		answer.finish()
		return
	}
	answer.fail(x.id, result.err)
}

// resolveAnswer authenticates a request for a stored answer and finds the agent that keeps it.
func (s *Server) resolveAnswer(r *http.Request) (*exchange, route.Backend, *refusal) {
	if ref := s.checkReady(false); ref != nil {
		return nil, route.Backend{}, ref
	}
	tree := s.dir.Tree()
	sender, ref := s.authenticate(tree, r)
	if ref != nil {
		return nil, route.Backend{}, ref
	}
	id, err := parseRequestID(r.PathValue("id"))
	if err != nil {
		return nil, route.Backend{}, refuse(http.StatusBadRequest, "invalid_request_id", "%v", err)
	}
	server, ok := s.servers.Find(id.agent)
	if !ok || server.Incarnation != id.agentIncarnation {
		return nil, route.Backend{}, refuse(http.StatusNotFound, "answer_not_kept", "the answer is no longer stored")
	}
	class, ref := resolveClass(tree, sender.organisation, "")
	if ref != nil {
		return nil, route.Backend{}, ref
	}
	return &exchange{
		id:           id,
		received:     time.Now(),
		organisation: sender.organisation,
		keyHash:      sender.keyHash,
		class:        class,
		model:        server.Model,
	}, server, nil
}
