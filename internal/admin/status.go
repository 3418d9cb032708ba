package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/proto/controlpb"
)

func (s *Server) getStatus(req *restful.Request, resp *restful.Response) {
	tree, confirmed := s.newestTree(req.Request.Context())
	requested := tree.Version()
	out := adminapi.Status{
		Member: s.cfg.Control.Self().ID, Version: tree.Version().String(), Confirmed: confirmed, Requested: req.QueryParameter("version"),
		Processes: []adminapi.Process{},
	}
	if out.Requested != "" {
		v, err := settings.ParseVersion(out.Requested)
		if err != nil {
			reject(resp, http.StatusBadRequest, adminapi.CodeBadRequest, "%v", err)
			return
		}
		requested = v
	}
	if req.QueryParameter("wait") != "" {
		ctx, cancel := context.WithTimeout(req.Request.Context(), waitTimeout(req))
		defer cancel()
		s.cfg.Control.WaitInForce(ctx, requested)
	}
	if leader, ok := s.cfg.Control.Leader(); ok {
		out.Leader = leader.ID
	}
	if s.cfg.Replica != nil {
		out.Replica = s.cfg.Replica()
	}
	if s.cfg.Group != nil {
		group := s.cfg.Group()
		out.Group = &group
	}
	for _, d := range s.cfg.Control.ZoneDrains().Drains {
		out.Drains = append(out.Drains, adminapi.ZoneDrain{Zone: d.Zone, SinceMS: d.SinceMS, OrderedBy: d.By})
	}
	out.Behind = processIDs(s.cfg.Control.Behind(requested))
	out.InForce = len(out.Behind) == 0 && !tree.Version().Less(requested)
	now := time.Now()
	for _, p := range s.cfg.Control.Processes() {
		out.Processes = append(out.Processes, adminapi.Process{
			ID: p.ID, Role: p.Role, Zone: p.Zone, Version: p.Version.String(), AgeMS: now.Sub(p.Heard).Milliseconds(), Behind: p.Version.Less(requested),
		})
	}
	writeResult(resp, http.StatusOK, tree.Version(), out)
}

func (s *Server) listBackends(_ *restful.Request, resp *restful.Response) {
	out := adminapi.Backends{Backends: []adminapi.Backend{}}
	for _, b := range s.cfg.Control.Backends() {
		out.Backends = append(out.Backends, apiBackend(b))
	}
	writeResult(resp, http.StatusOK, s.cfg.Control.Tree().Version(), out)
}

func apiBackend(b *controlpb.BackendServer) adminapi.Backend {
	const msPerMicrosecond = 1e-3
	return adminapi.Backend{
		ID: b.Id, Address: b.Address, Kind: b.Kind, Model: b.Model, Version: b.Version, Adapters: b.Adapters, Zone: b.Zone,
		Lifecycle: b.Lifecycle, Slots: b.Slots, Running: b.Running, Waiting: b.Waiting,
		FirstTokenMS: float64(b.FirstTokenUs) * msPerMicrosecond, BetweenTokenMS: float64(b.TokenIntervalUs) * msPerMicrosecond, Fencing: b.Fencing,
	}
}

const defaultWindows = 20

func (s *Server) getUsage(req *restful.Request, resp *restful.Response) {
	windows, err := s.cfg.Operations.Windows(limitOf(req, defaultWindows))
	if err != nil {
		reject(resp, http.StatusInternalServerError, adminapi.CodeUnavailable, "usage: %v", err)
		return
	}
	writeResult(resp, http.StatusOK, s.cfg.Control.Tree().Version(), windows)
}

func (s *Server) getOrders(_ *restful.Request, resp *restful.Response) {
	writeResult(resp, http.StatusOK, s.cfg.Control.Tree().Version(), s.cfg.Operations.Orders())
}

func (s *Server) getFleet(_ *restful.Request, resp *restful.Response) {
	writeResult(resp, http.StatusOK, s.cfg.Control.Tree().Version(), s.cfg.Operations.FleetStatus())
}

func (s *Server) getBackup(_ *restful.Request, resp *restful.Response) {
	data, err := s.cfg.Backup()
	if err != nil {
		reject(resp, http.StatusServiceUnavailable, adminapi.CodeUnavailable, "backup: %v", err)
		return
	}
	resp.Header().Set("Content-Type", "application/octet-stream")
	_, _ = resp.Write(data)
}
