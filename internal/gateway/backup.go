package gateway

import (
	"context"
	"log/slog"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// minBackupOutput is the smallest ratio of output tokens to prompt tokens at which a run is backed up: copying the state of a
// long prompt costs more than losing a short answer.
const minBackupOutput = 0.2

// isWorthBackup reports whether another backend server should keep a backup of the run's state, from which it continues the
// run if the first one crashes. Only streams of engines that support backups have one. Resumable streams need none, since they
// can be run again.
func isWorthBackup(r *catalog.Route, p Prompt, service *catalog.Service) bool {
	if r.Kind != catalog.Streaming || r.Resumable || service == nil || service.Engine == nil || !service.Engine.Backups {
		return false
	}
	return p.Tokens > 0 && float64(p.MaxOutputTokens) >= minBackupOutput*float64(p.Tokens)
}

// selectBackup returns the backend server that is to keep the backup of a run at server, or the zero value if there is none.
func (s *Server) selectBackup(x *exchange, server route.Backend) route.Backend {
	if !x.keepsBackup {
		return route.Backend{}
	}
	backup, _ := s.servers.BackupServer(x.routeRequest(nil), server.ID)
	return backup
}

// resumeAtBackup prepares to continue a run that was interrupted at server from its backup, and reports whether it may. A
// server that still accepts connections may still be executing the run, which then must not run anywhere else. So may one that leaves,
// whether it accepts any or not: it closes its listener and finishes what it has. The server that keeps the backup must still take work; if it is cold, there must be a turn.
// Resuming uses the retry budget.
func (s *Server) resumeAtBackup(ctx context.Context, x *exchange, t *attempts, server route.Backend, o attemptOutcome) bool {
	if t.backup.ID == "" || !o.ran || t.stream.lastID == "" || ctx.Err() != nil {
		return false
	}
	if !s.servers.IsStaying(server.ID) || !s.servers.TakesWork(t.backup.ID) {
		return false
	}
	if s.client.AcceptsConnections(ctx, server.Address) || !s.servers.TakeColdTurn(t.backup.ID) || !s.budgets.take(x.service) {
		return false
	}
	t.next, t.backup = t.backup, route.Backend{}
	s.logStep(x, eventResumed, slog.String(telemetry.KeyBackendServer, t.next.ID), slog.String("resume_after", t.stream.lastID))
	return true
}
