package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
)

// proposeRetryInterval is the pause between two attempts to commit a catalog, for example during an election.
const proposeRetryInterval = 50 * time.Millisecond

// ErrCatalogUnavailable means that no quorum could confirm which catalog is the newest.
const ErrCatalogUnavailable = errors.ConstError("the newest catalog can't be confirmed")

// ReplaceCatalog commits a validated document if its version is higher than the current one, and returns the version in force
// afterwards. It retries until ctx ends. Retries are idempotent, so a lost reply does no harm.
func (s *Service) ReplaceCatalog(ctx context.Context, version uint64, original []byte) (held uint64, err error) {
	if held := s.hub.position().catalog; held >= version {
		return held, nil // this version is committed already, or a higher one is
	}
	compressed, err := catalog.Compress(original)
	if err != nil {
		return 0, err
	}
	command := catalog.Command{Version: version, Document: compressed}
	for {
		result, err := s.commit(ctx, catalog.ModuleName, command)
		if err == nil {
			var outcome catalog.Outcome
			err = json.Unmarshal(result, &outcome)
			return outcome.Held, errors.Trace(err)
		}
		if !wait.For(ctx, proposeRetryInterval) {
			return 0, errors.Annotate(err, "replace catalog")
		}
	}
}

// ConfirmCatalog returns nil once a quorum round that started after the call has confirmed that this member has the
// newest document.
func (s *Service) ConfirmCatalog(ctx context.Context) error {
	if _, err := s.Confirm(ctx); err != nil {
		return errors.WithType(err, ErrCatalogUnavailable)
	}
	return nil
}

// ReadCatalog returns the newest document in its original form, confirmed by a quorum round that started after the call.
// The version is 0 if there is no document.
func (s *Service) ReadCatalog(ctx context.Context) (version uint64, original []byte, err error) {
	if err := s.ConfirmCatalog(ctx); err != nil {
		return 0, nil, err
	}
	newest := s.hub.newestDocument()
	if newest.version == 0 {
		return 0, nil, nil
	}
	original, err = catalog.Decompress(newest.data)
	return newest.version, original, err
}

// ReportBackend registers or updates a backend server that reports without an agent.
func (s *Service) ReportBackend(b *controlpb.BackendServer) {
	s.handleReport(&controlpb.AgentReport{Backend: b})
}

// MarkBackendLeaving marks a backend server as leaving, so that it gets no new work. startedMS is the start of the incarnation that
// leaves, in Unix milliseconds; 0: the registered one. It returns false if the server is not registered at this member.
func (s *Service) MarkBackendLeaving(id string, startedMS int64) bool {
	return s.soft.markLeaving(id, startedMS, time.Now())
}

// markLeaving marks a registered backend server as leaving, without waiting for its next report. If the server has started again since
// the incarnation that leaves, nothing is changed. It returns false if the server is not registered.
func (s *softState) markLeaving(id string, startedMS int64, now time.Time) bool {
	known := false
	s.update(func() {
		reg, ok := s.registry.Get(id)
		if !ok {
			return
		}
		known = true
		if startedMS != 0 && startedMS < reg.Report.StartedMS {
			return
		}
		report := reg.Report
		report.Lifecycle = member.Leaving
		s.registry.Put(report, now, true, true)
	})
	return known
}

// Plane is the interface of a control member for platform adapters, which serve operators and backend servers.
type Plane interface {
	// ReplaceCatalog commits a validated document if its version is higher than the current one, and returns the version in force.
	ReplaceCatalog(ctx context.Context, version uint64, original []byte) (held uint64, err error)
	// ReadCatalog returns the newest document in its original form; version 0 means that there is none.
	ReadCatalog(ctx context.Context) (version uint64, original []byte, err error)
	// ConfirmCatalog returns nil if a quorum confirms that this member has the newest document.
	ConfirmCatalog(ctx context.Context) error
	// ReportBackend registers or updates a backend server that reports without an agent.
	ReportBackend(b *controlpb.BackendServer)
	// MarkBackendLeaving marks an incarnation of a backend server as leaving. startedMS is its start in Unix milliseconds; 0: the
	// registered one. It returns false if the server is not registered.
	MarkBackendLeaving(id string, startedMS int64) bool
	// OrderZoneDrain orders that the drain of an availability zone begins or ends, and returns nil once the order is committed. by names
	// who ordered it.
	OrderZoneDrain(ctx context.Context, zone string, drained bool, by string) error
}

var _ Plane = (*Service)(nil)
