package admin

import (
	"context"
	"net/http"
	"strconv"

	"github.com/emicklei/go-restful/v3"
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/replica"
)

// Membership changes the members of the control group. Its calls succeed only on the leader. It is implemented by
// replica.Replica.
type Membership interface {
	AddLearner(ctx context.Context, m replica.Member) error
	Promote(ctx context.Context, id uint64) error
	Remove(ctx context.Context, id uint64) error
	TransferLeadership(ctx context.Context) error
}

// addMembershipRoutes adds the routes for the members of the control group.
func (s *Server) addMembershipRoutes(ws *restful.WebService) {
	const memberPath = "/control/members/{member}"
	member := restful.PathParameter("member", "number of the member").DataType("integer")
	routes := []*restful.RouteBuilder{
		ws.POST("/control/members").To(s.addMember).Operation("addMember").Reads(adminapi.Member{}).
			Doc("Add a member as a learner, which has no vote yet"),
		ws.POST(memberPath + "/promote").To(s.memberHandler(Membership.Promote)).Operation("promoteMember").Param(member).
			Doc("Promote a learner that has caught up to a voter"),
		ws.DELETE(memberPath).To(s.memberHandler(Membership.Remove)).Operation("removeMember").Param(member).
			Doc("Remove a member from the group"),
		ws.POST("/control/transfer").To(s.transfer).Operation("transferLeadership").
			Doc("Transfer leadership to another member"),
	}
	for _, b := range routes {
		ws.Route(readRoute(b, adminapi.Member{}).Filter(permit(Administer)).Filter(permitRoot))
	}
}

func (s *Server) addMember(req *restful.Request, resp *restful.Response) {
	var m adminapi.Member
	if !readBody(req, resp, &m) {
		return
	}
	if m.ID == 0 || m.Address == "" {
		reject(resp, http.StatusBadRequest, adminapi.CodeBadRequest, "expected the number and the address of the member")
		return
	}
	s.changeMembership(req, resp, m, func(ctx context.Context) error {
		return s.cfg.Membership.AddLearner(ctx, replica.Member{ID: m.ID, Address: m.Address})
	})
}

// memberHandler returns a handler that applies change to the member in the request's path.
func (s *Server) memberHandler(change func(Membership, context.Context, uint64) error) restful.RouteFunction {
	return func(req *restful.Request, resp *restful.Response) {
		id, err := strconv.ParseUint(req.PathParameter("member"), 10, 64)
		if err != nil {
			reject(resp, http.StatusBadRequest, adminapi.CodeBadRequest, "%q is not the number of a member", req.PathParameter("member"))
			return
		}
		s.changeMembership(req, resp, adminapi.Member{ID: id}, func(ctx context.Context) error {
			return change(s.cfg.Membership, ctx, id)
		})
	}
}

func (s *Server) transfer(req *restful.Request, resp *restful.Response) {
	s.changeMembership(req, resp, adminapi.Member{}, s.cfg.Membership.TransferLeadership)
}

// changeMembership executes a membership change and writes its audit record and the response.
func (s *Server) changeMembership(req *restful.Request, resp *restful.Response, m adminapi.Member, change func(context.Context) error) {
	ctx, cancel := context.WithTimeout(req.Request.Context(), changeTimeout)
	defer cancel()
	err := change(ctx)
	s.cfg.Logger.Info("control group change", "operator", operatorOf(req).Name, "op", req.SelectedRoute().Operation(),
		"member", m.ID, "address", m.Address, "remote", req.Request.RemoteAddr, "error", errorText(err))
	var notLeader *replica.NotLeaderError
	switch {
	case err == nil:
		_ = resp.WriteHeaderAndJson(http.StatusOK, m, restful.MIME_JSON)
	case errors.As(err, &notLeader):
		reject(resp, http.StatusConflict, adminapi.CodeNotServed, "%v; send the request to that member", err)
	default:
		s.writeOutcomeError(resp, err)
	}
}
