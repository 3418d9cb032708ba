package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
)

// proposeRetryInterval is the pause between two tries to commit a catalog, such as during an election.
const proposeRetryInterval = 50 * time.Millisecond

// ErrCatalogUnavailable says that the newest catalog can't be confirmed now.
const ErrCatalogUnavailable = errors.ConstError("the newest catalog can't be confirmed")

// ReplaceCatalog puts a checked document in force if its version is the highest, and returns the version in force after
// it. It tries until ctx ends; the document is the same each time, so that a lost answer does no harm.
func (s *Service) ReplaceCatalog(ctx context.Context, version uint64, original []byte) (held uint64, err error) {
	if held := s.hub.position().catalog; held >= version {
		return held, nil // committed already, and a lower version changes nothing
	}
	command, err := replaceCommand(version, original)
	if err != nil {
		return 0, err
	}
	for {
		reply, err := s.Propose(ctx, &controlpb.ProposeRequest{Command: command, TimeoutMs: untilDeadline(ctx).Milliseconds()})
		if err == nil && reply.Error != "" {
			err = errors.New(reply.Error)
		}
		if err == nil {
			var outcome catalog.Outcome
			err = json.Unmarshal(reply.Result, &outcome)
			return outcome.Held, errors.Trace(err)
		}
		if !wait.For(ctx, proposeRetryInterval) {
			return 0, errors.Annotate(err, "replace the catalog")
		}
	}
}

func replaceCommand(version uint64, original []byte) ([]byte, error) {
	document, err := catalog.Compress(original)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(catalog.Command{Version: version, Document: document})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(state.Command{Module: catalog.ModuleName, Body: body})
}

// ConfirmCatalog returns nil once a quorum has confirmed, after the call began, that this member has the newest document.
func (s *Service) ConfirmCatalog(ctx context.Context) error {
	if _, err := s.Confirm(ctx); err != nil {
		return errors.WithType(err, ErrCatalogUnavailable)
	}
	return nil
}

// ReadCatalog returns the newest document as it was sent, confirmed by a quorum after the call began. Without any
// document the version is 0.
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

// ReportBackend takes the report of a backend server that speaks for itself.
func (s *Service) ReportBackend(b *controlpb.BackendServer) {
	s.takeReport(&controlpb.AgentReport{Backend: b})
}

// DepartBackend notes that a backend server takes no new work any more. It returns false where the server isn't known
// here.
func (s *Service) DepartBackend(id string) bool {
	return s.soft.depart(id, time.Now())
}

// depart marks a registered backend server as leaving, ahead of any report that is still under way.
func (s *softState) depart(id string, now time.Time) bool {
	known := false
	s.update(func() {
		e, ok := s.registry.Get(id)
		if !ok {
			return
		}
		known = true
		report := e.Report
		report.Lifecycle = member.Leaving
		s.registry.Put(report, now, true, true)
	})
	return known
}

// Plane is what an adapter to a platform asks of a control member for operators and backend servers.
type Plane interface {
	// ReplaceCatalog puts a checked document in force if its version is the highest, and returns the version in force.
	ReplaceCatalog(ctx context.Context, version uint64, original []byte) (held uint64, err error)
	// ReadCatalog returns the newest document as it was sent; version 0: there is none.
	ReadCatalog(ctx context.Context) (version uint64, original []byte, err error)
	// ConfirmCatalog returns nil where a quorum confirms that this member has the newest document.
	ConfirmCatalog(ctx context.Context) error
	// ReportBackend takes the report of a backend server that speaks for itself.
	ReportBackend(b *controlpb.BackendServer)
	// DepartBackend notes that a backend server takes no new work; false: it isn't known here.
	DepartBackend(id string) bool
}

var _ Plane = (*Service)(nil)
