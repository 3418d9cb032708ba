package admin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/core/fleet"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/operate"
)

// anyVersion is the value of If-Match that matches any current version.
const anyVersion = "*"

func (s *Server) addFleetRoutes(ws *restful.WebService) {
	ws.Route(readRoute(ws.GET("/fleet").To(s.getFleet).Operation("getFleet").Doc("Leader, plans, servers and open orders"), operate.FleetStatus{}).Filter(permitRoot))
	ws.Route(readRoute(ws.GET("/fleet/settings").To(s.getFleetSettings).Operation("getFleetSettings").Doc("Pools, broadcasts, price ceilings of organisations, pause and dry run"), adminapi.FleetSettings{}).
		Filter(permitRoot))
	ws.Route(requireVersion(changeRoute(ws.PUT("/fleet/settings").To(s.putFleetSettings).Operation("putFleetSettings").
		Doc("Replace the fleet settings"), http.StatusOK, adminapi.Change{})).
		Reads(fleet.Settings{}).Filter(permit(Administer)).Filter(permitRoot))
}

func (s *Server) getFleetSettings(_ *restful.Request, resp *restful.Response) {
	status := s.cfg.Operations.FleetStatus()
	body := adminapi.FleetSettings{Version: strconv.FormatUint(status.Version, 10), Settings: status.Settings}
	writeFleetResult(resp, body.Version, body)
}

func writeFleetResult(resp *restful.Response, version string, body any) {
	resp.Header().Set(adminapi.HeaderVersion, `"`+version+`"`)
	_ = resp.WriteHeaderAndJson(http.StatusOK, body, restful.MIME_JSON)
}

func (s *Server) putFleetSettings(req *restful.Request, resp *restful.Response) {
	id, match, ok := changeHeaders(req, resp, true)
	if !ok {
		return
	}
	operator := operatorOf(req).Name
	c := duty.Change{ID: operator + "/" + id, AnyVersion: match == anyVersion}
	if !c.AnyVersion {
		var err error
		if c.IfMatch, err = strconv.ParseUint(match, 10, 64); err != nil {
			reject(resp, http.StatusBadRequest, adminapi.CodeBadRequest, "If-Match: %q is not a version of the fleet settings", match)
			return
		}
	}
	if !readBody(req, resp, &c.Settings) {
		return
	}
	resp.Header().Set(adminapi.HeaderChangeID, id)
	data, err := duty.Encode(duty.Command{Change: &c}, operator, time.Now().UnixMilli())
	if err != nil {
		reject(resp, http.StatusInternalServerError, adminapi.CodeUnavailable, "%v", err)
		return
	}
	ctx, cancel := context.WithTimeout(req.Request.Context(), changeTimeout)
	defer cancel()
	var result duty.Result
	err = s.proposeData(ctx, data, &result)
	s.cfg.Logger.Info("change", "operator", operator, "op", "put_fleet_settings", "change_id", id, "code", result.Code,
		"version", result.Version, "remote", req.Request.RemoteAddr, "error", errorText(err))
	if err != nil {
		s.writeOutcomeError(resp, err)
		return
	}
	writeFleetChange(resp, id, result)
}

// writeFleetChange writes the response to a change of the fleet settings. The leader applies an accepted change at once, so it is
// in force.
func writeFleetChange(resp *restful.Response, id string, result duty.Result) {
	version := strconv.FormatUint(result.Version, 10)
	if result.Code == duty.CodeOK {
		writeFleetResult(resp, version, adminapi.Change{Version: version, ChangeID: id, InForce: true})
		return
	}
	status, code := http.StatusConflict, result.Code
	switch result.Code {
	case duty.CodeInvalid:
		status, code = http.StatusUnprocessableEntity, string(settings.CodeInvalid)
	case duty.CodeConflict:
		code = string(settings.CodeConflict)
	case duty.CodeChangeReuse:
		code = string(settings.CodeReused)
	}
	resp.Header().Set(adminapi.HeaderVersion, `"`+version+`"`)
	writeError(resp, status, adminapi.Error{Code: code, Message: result.Message, Verdict: verdict.NotRun.String(), Version: version})
}
