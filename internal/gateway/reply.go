package gateway

import (
	"net/http"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// recordNotice records what a backend server said with its answer about the work that it takes.
func (s *Server) recordNotice(x *exchange, server route.Backend, reply Reply) {
	if reply.Leaves && s.servers.RecordLeaving(server.ID, server.Incarnation) {
		s.cfg.Logger.Info("backend server says that it leaves", telemetry.KeyBackendServer, server.ID, "incarnation", server.Incarnation,
			telemetry.KeyRequestID, x.call.ID)
	}
	if reply.Pause > 0 && s.servers.RecordPause(server.ID, server.Incarnation, reply.Pause) {
		s.cfg.Logger.Info("backend server asks for a pause", telemetry.KeyBackendServer, server.ID, "incarnation", server.Incarnation,
			telemetry.KeyRequestID, x.call.ID, "pause_ms", reply.Pause.Milliseconds())
	}
}

// recordLoad records the load that a backend server reports with its answer.
func (s *Server) recordLoad(server route.Backend, reply Reply) {
	if reply.Load.Slots <= 0 {
		return
	}
	s.servers.RecordLoad(server.ID, route.Load{
		Slots:    reply.Load.Slots,
		Running:  reply.Load.Running,
		Waiting:  reply.Load.Waiting,
		Slowdown: reply.Load.Slowdown,
	})
}

// connectionHeaders apply to one connection only and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Expect",
}

// removeConnectionHeaders removes the headers that apply to one connection, including those named by its Connection header.
func removeConnectionHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range splitList(value) {
			h.Del(name)
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}
