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

// Membership changes the members of the control group; replica.Replica implements it. Only the leader does.
type Membership interface {
	AddLearner(ctx context.Context, m replica.Member) error
	Promote(ctx context.Context, id uint64) error
	Remove(ctx context.Context, id uint64) error
	TransferLeadership(ctx context.Context) error
}

// addGroup adds the routes of the control group's members.
func (s *Server) addGroup(ws *restful.WebService) {
	const one = "/control/members/{member}"
	member := restful.PathParameter("member", "number of the member").DataType("integer")
	routes := []*restful.RouteBuilder{
		ws.POST("/control/members").To(s.addMember).Operation("addMember").Reads(adminapi.Member{}).
			Doc("Add a member that gets the log and has no vote yet"),
		ws.POST(one + "/promote").To(s.byNumber(Membership.Promote)).Operation("promoteMember").Param(member).
			Doc("Give a member a vote once it has caught up"),
		ws.DELETE(one).To(s.byNumber(Membership.Remove)).Operation("removeMember").Param(member).
			Doc("Take a member out of the group"),
		ws.POST("/control/transfer").To(s.transfer).Operation("transferLeadership").
			Doc("Let another member lead"),
	}
	for _, b := range routes {
		ws.Route(reading(b, adminapi.Member{}).Filter(permit(Administer)).Filter(permitRoot))
	}
}

func (s *Server) addMember(req *restful.Request, resp *restful.Response) {
	var m adminapi.Member
	if !readBody(req, resp, &m) {
		return
	}
	if m.ID == 0 || m.Address == "" {
		fail(resp, http.StatusBadRequest, adminapi.CodeBadRequest, "expected the number and the address of the member")
		return
	}
	s.changeGroup(req, resp, m, func(ctx context.Context) error {
		return s.cfg.Membership.AddLearner(ctx, replica.Member{ID: m.ID, Address: m.Address})
	})
}

// byNumber is a change of the member that the path names.
func (s *Server) byNumber(change func(Membership, context.Context, uint64) error) restful.RouteFunction {
	return func(req *restful.Request, resp *restful.Response) {
		id, err := strconv.ParseUint(req.PathParameter("member"), 10, 64)
		if err != nil {
			fail(resp, http.StatusBadRequest, adminapi.CodeBadRequest, "%q is not the number of a member", req.PathParameter("member"))
			return
		}
		s.changeGroup(req, resp, adminapi.Member{ID: id}, func(ctx context.Context) error {
			return change(s.cfg.Membership, ctx, id)
		})
	}
}

func (s *Server) transfer(req *restful.Request, resp *restful.Response) {
	s.changeGroup(req, resp, adminapi.Member{}, s.cfg.Membership.TransferLeadership)
}

// changeGroup carries out a change of the group, writes its audit record and answers.
func (s *Server) changeGroup(req *restful.Request, resp *restful.Response, m adminapi.Member, change func(context.Context) error) {
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
		fail(resp, http.StatusConflict, adminapi.CodeNotServed, "%v; ask that member", err)
	default:
		s.failed(resp, err)
	}
}
