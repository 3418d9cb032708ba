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

// anyVersion is the value of If-Match that changes whatever version is the current one.
const anyVersion = "*"

func (s *Server) addFleet(ws *restful.WebService) {
	ws.Route(reading(ws.GET("/fleet").To(s.getFleet).Operation("getFleet").Doc("Who leads, plans, servers and open orders"), operate.FleetStatus{}).Filter(permitRoot))
	ws.Route(reading(ws.GET("/fleet/settings").To(s.getFleetSettings).Operation("getFleetSettings").Doc("Pools, broadcasts, price ceilings of organisations, pause and dry run"), adminapi.FleetSettings{}).
		Filter(permitRoot))
	ws.Route(needsVersion(changing(ws.PUT("/fleet/settings").To(s.putFleetSettings).Operation("putFleetSettings").
		Doc("Replace the settings of the fleet"), http.StatusOK, adminapi.Change{})).
		Reads(fleet.Settings{}).Filter(permit(Administer)).Filter(permitRoot))
}

func (s *Server) getFleetSettings(_ *restful.Request, resp *restful.Response) {
	status := s.cfg.Operations.FleetStatus()
	body := adminapi.FleetSettings{Version: strconv.FormatUint(status.Version, 10), Settings: status.Settings}
	answerFleet(resp, body.Version, body)
}

func answerFleet(resp *restful.Response, version string, body any) {
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
			fail(resp, http.StatusBadRequest, adminapi.CodeBadRequest, "If-Match: %q is not a version of the fleet's settings", match)
			return
		}
	}
	if !readBody(req, resp, &c.Settings) {
		return
	}
	resp.Header().Set(adminapi.HeaderChangeID, id)
	data, err := duty.Encode(duty.Command{Change: &c}, operator, time.Now().UnixMilli())
	if err != nil {
		fail(resp, http.StatusInternalServerError, adminapi.CodeUnavailable, "%v", err)
		return
	}
	ctx, cancel := context.WithTimeout(req.Request.Context(), changeTimeout)
	defer cancel()
	var result duty.Result
	err = s.proposeData(ctx, data, &result)
	s.cfg.Logger.Info("change", "operator", operator, "op", "put_fleet_settings", "change_id", id, "code", result.Code,
		"version", result.Version, "remote", req.Request.RemoteAddr, "error", errorText(err))
	if err != nil {
		s.failed(resp, err)
		return
	}
	answerFleetChange(resp, id, result)
}

// answerFleetChange writes the outcome of a change. The leading member works by it at once, so it is in force.
func answerFleetChange(resp *restful.Response, id string, result duty.Result) {
	version := strconv.FormatUint(result.Version, 10)
	if result.Code == duty.CodeOK {
		answerFleet(resp, version, adminapi.Change{Version: version, ChangeID: id, InForce: true})
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
