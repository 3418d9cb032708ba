package admin

import (
	"net/http"

	"github.com/emicklei/go-restful/v3"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/operate"
)

// webService returns all routes of the API with their descriptions.
func (s *Server) webService() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path("/v1").Produces(restful.MIME_JSON).Consumes("*/*").Filter(s.authenticate)
	s.addSettingsRoutes(ws)
	s.addOrganisationRoutes(ws)
	s.addKeyRoutes(ws)
	s.addStatusRoutes(ws)
	return ws
}

// readRoute adds the required role and the responses of a read-only route.
func readRoute(b *restful.RouteBuilder, body any) *restful.RouteBuilder {
	return b.Filter(permit(Read)).Returns(http.StatusOK, "OK", body).
		Returns(http.StatusUnauthorized, "Unauthorized", adminapi.Error{}).
		Returns(http.StatusForbidden, "Forbidden", adminapi.Error{})
}

// changeRoute adds the parameters and responses of a route that makes a change.
func changeRoute(b *restful.RouteBuilder, status int, body any) *restful.RouteBuilder {
	return b.
		Param(restful.HeaderParameter(adminapi.HeaderChangeID, "id of the change; a resend under the same id gets the first outcome")).
		Param(restful.HeaderParameter(adminapi.HeaderIfMatch, "version that was read, or *")).
		Param(restful.QueryParameter("wait", "how long to wait until the change is in force everywhere, such as 2s")).
		Returns(status, "OK", body).
		Returns(http.StatusUnauthorized, "Unauthorized", adminapi.Error{}).
		Returns(http.StatusForbidden, "Forbidden", adminapi.Error{}).
		Returns(http.StatusNotFound, "No such organisation, key or version", adminapi.Error{}).
		Returns(http.StatusConflict, "Another change came first; version is the current one", adminapi.Error{}).
		Returns(http.StatusUnprocessableEntity, "Not valid; problems lists all mistakes", adminapi.Error{}).
		Returns(http.StatusServiceUnavailable, "The change was not made", adminapi.Error{}).
		Returns(http.StatusGatewayTimeout, "The change may have been made; send it again under the same id", adminapi.Error{})
}

// requireVersion adds the response to a missing If-Match.
func requireVersion(b *restful.RouteBuilder) *restful.RouteBuilder {
	return b.Returns(http.StatusPreconditionRequired, "If-Match is missing", adminapi.Error{})
}

func organisationParameter() *restful.Parameter {
	return restful.PathParameter("organisation", "path in the tree with dots or escaped slashes, such as camurca.porto")
}

func limitParameter() *restful.Parameter {
	return restful.QueryParameter("limit", "maximum number of items").DataType("integer")
}

func (s *Server) addSettingsRoutes(ws *restful.WebService) {
	ws.Route(readRoute(ws.GET("/settings").To(s.getSettings).Operation("getSettings").Doc("Settings tree from an organisation down"), adminapi.Settings{}).
		Param(restful.QueryParameter("organisation", "path in the tree; empty: all")))
	ws.Route(requireVersion(changeRoute(ws.PUT("/settings").To(s.changeHandler(true, putSettings)).Operation("putSettings").
		Doc("Replace the whole tree; keys of removed organisations are withdrawn"), http.StatusOK, adminapi.Change{})).
		Reads(settings.Document{}).Filter(permit(Administer)).Filter(permitRoot))
	ws.Route(readRoute(ws.POST("/settings/check").To(s.checkSettings).Operation("checkSettings").Doc("Validate a document"), adminapi.Check{}).
		Reads(settings.Document{}))
	ws.Route(readRoute(ws.GET("/settings/globals").To(s.getGlobals).Operation("getGlobals").Doc("Routes, models, price ceilings and broadcasts"), adminapi.Globals{}).
		Filter(permitRoot))
	ws.Route(requireVersion(changeRoute(ws.PUT("/settings/globals").To(s.changeHandler(true, putGlobals)).Operation("putGlobals").
		Doc("Replace routes, models, price ceilings and broadcasts"), http.StatusOK, adminapi.Change{})).
		Reads(settings.Globals{}).Filter(permit(Administer)).Filter(permitRoot))
	ws.Route(requireVersion(changeRoute(ws.POST("/settings/rollback").To(s.rollback).Operation("rollback").
		Doc("Return to an earlier version as a new one; keys stay as they are"), http.StatusOK, adminapi.Change{})).
		Reads(adminapi.Rollback{}).Filter(permit(Administer)).Filter(permitRoot))
	ws.Route(readRoute(ws.GET("/settings/history").To(s.getHistory).Operation("getHistory").Doc("Accepted changes, newest first"), adminapi.History{}).
		Param(limitParameter()))
	ws.Route(readRoute(ws.GET("/settings/explain").To(s.explain).Operation("explain").Doc("Origins of the effective values of a class"), adminapi.Explanation{}).
		Param(restful.QueryParameter("organisation", "path in the tree")).Param(restful.QueryParameter("class", "name of the class").Required(true)))
}

func (s *Server) addOrganisationRoutes(ws *restful.WebService) {
	const organisationPath = "/organisations/{organisation}"
	ws.Route(readRoute(ws.GET("/organisations").To(s.listOrganisations).Operation("listOrganisations").Doc("Organisations"), adminapi.Organisations{}))
	ws.Route(readRoute(ws.GET(organisationPath).To(s.getOrganisation).Operation("getOrganisation").Doc("What an organisation sets itself"), adminapi.Node{}).
		Param(organisationParameter()).Filter(permitPath))
	for _, r := range []struct {
		b     *restful.RouteBuilder
		build func(*restful.Request, string) settings.Command
		name  string
		doc   string
		reads any
	}{
		{ws.PUT(organisationPath), putNode, "putOrganisation", "Replace what an organisation sets, or add it", settings.Node{}},
		{ws.PATCH(organisationPath), patchNode, "patchOrganisation", "Merge a patch (RFC 7396) into what an organisation sets", settings.Node{}},
		{ws.DELETE(organisationPath), removeNode, "removeOrganisation", "Remove an organisation and withdraw its keys", nil},
	} {
		b := requireVersion(changeRoute(r.b.To(s.changeHandler(true, r.build)).Operation(r.name).Doc(r.doc), http.StatusOK, adminapi.Change{}))
		if r.reads != nil {
			b = b.Reads(r.reads)
		}
		ws.Route(b.Param(organisationParameter()).Filter(permit(Administer)).Filter(permitConfigure))
	}
}

func (s *Server) addKeyRoutes(ws *restful.WebService) {
	const keysPath = "/organisations/{organisation}/keys"
	const keyPath = keysPath + "/{key}"
	keyParameter := restful.PathParameter("key", "id of the key")
	ws.Route(readRoute(ws.GET(keysPath).To(s.listKeys).Operation("listKeys").Doc("Keys of an organisation"), adminapi.Keys{}).
		Param(organisationParameter()).Filter(permitPath))
	ws.Route(changeRoute(ws.POST(keysPath).To(s.createKey).Operation("createKey").Doc("Create a key; only this response shows it"), http.StatusCreated, adminapi.CreatedKey{}).
		Reads(adminapi.NewKey{}).Param(organisationParameter()).Filter(permit(Operate)).Filter(permitPath))
	ws.Route(changeRoute(ws.POST(keyPath+"/rotate").To(s.rotateKey).Operation("rotateKey").Doc("Create a key that replaces another one, which stays valid for the overlap"), http.StatusCreated, adminapi.CreatedKey{}).
		Reads(adminapi.RotateKey{}).Param(organisationParameter()).Param(keyParameter).Filter(permit(Operate)).Filter(permitPath))
	ws.Route(changeRoute(ws.PUT(keyPath+"/expiry").To(s.expireKey).Operation("expireKey").Doc("Set the expiry of a key"), http.StatusOK, adminapi.Change{}).
		Reads(adminapi.ExpireKey{}).Param(organisationParameter()).Param(keyParameter).Filter(permit(Operate)).Filter(permitPath))
	ws.Route(changeRoute(ws.DELETE(keyPath).To(s.changeHandler(false, s.withdrawKey)).Operation("withdrawKey").Doc("Withdraw a key; its running requests are cancelled"), http.StatusOK, adminapi.Change{}).
		Param(organisationParameter()).Param(keyParameter).Filter(permit(Operate)).Filter(permitPath))
}

func (s *Server) addStatusRoutes(ws *restful.WebService) {
	ws.Route(readRoute(ws.GET("/status").To(s.getStatus).Operation("getStatus").Doc("Leader, versions in force per process, and processes that are behind"), adminapi.Status{}).
		Param(restful.QueryParameter("version", "version to check; empty: the newest")).
		Param(restful.QueryParameter("wait", "how long to wait until it is in force everywhere, such as 2s")).Filter(permitRoot))
	ws.Route(readRoute(ws.GET("/backends").To(s.listBackends).Operation("listBackends").Doc("Registered backend servers"), adminapi.Backends{}).Filter(permitRoot))
	if s.cfg.Backup != nil {
		ws.Route(readRoute(ws.GET("/backup").To(s.getBackup).Operation("getBackup").Doc("Snapshot of the whole state, for a restore into a new group").Produces("application/octet-stream"), nil).
			Filter(permit(Administer)).Filter(permitRoot))
	}
	if s.cfg.Membership != nil {
		s.addMembershipRoutes(ws)
	}
	if s.cfg.Operations == nil {
		return
	}
	ws.Route(readRoute(ws.GET("/usage").To(s.getUsage).Operation("getUsage").Doc("Billing windows, newest first, with their counted and reported usage"), []operate.WindowUsage{}).
		Param(limitParameter()).Filter(permitRoot))
	ws.Route(readRoute(ws.GET("/orders").To(s.getOrders).Operation("getOrders").Doc("Orders to the platform and to engines, newest first"), []duty.Order{}).Filter(permitRoot))
	s.addFleetRoutes(ws)
}
