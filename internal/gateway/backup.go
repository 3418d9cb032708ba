package gateway

import (
	"context"
	"log/slog"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// minBackupOutput is the length of an answer, as a part of its prompt, from which its run is backed up: the copy of a long
// prompt costs more than the loss of a short answer.
const minBackupOutput = 0.2

// isWorthBackup reports whether a backup of the run's memory is kept at another backend server, which continues the run should
// the first one crash. Streams that may be resumed need none: they are run again.
func isWorthBackup(r *catalog.Route, p Prompt, service *catalog.Service) bool {
	if r.Kind != catalog.Streaming || r.Resumable || service == nil || service.Engine == nil || !service.Engine.Backups {
		return false
	}
	return p.Tokens > 0 && float64(p.OutputTokens) >= minBackupOutput*float64(p.Tokens)
}

// backup returns the backend server that keeps the backup of a run at server, the zero value for none.
func (s *Server) backup(x *exchange, server route.Backend) route.Backend {
	if !x.backsUp {
		return route.Backend{}
	}
	backup, _ := s.servers.Backup(x.routeRequest(nil), server.ID)
	return backup
}

// continuesAtBackup reports whether the run that broke off at server continues at its backup. A server that still takes
// connections may be at work on the run, and then nobody else may be.
func (s *Server) continuesAtBackup(ctx context.Context, x *exchange, t *tries, server route.Backend, o outcome) bool {
	if t.backup.ID == "" || !o.ran || t.stream.lastID == "" || ctx.Err() != nil {
		return false
	}
	if s.client.TakesConnections(ctx, server.Address) || !s.budgets.take(x.service) {
		return false
	}
	t.next, t.backup = t.backup, route.Backend{}
	s.tell(x, eventContinues, slog.String(telemetry.KeyBackendServer, t.next.ID), slog.String("resume_after", t.stream.lastID))
	return true
}
