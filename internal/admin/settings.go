package admin

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/emicklei/go-restful/v3"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/core/settings"
)

// Numbers of items in lists.
const (
	defaultHistory = 100
	maxHistory     = settings.MaxHistory
)

// newestTree returns the settings of this member, and whether a quorum confirmed them as the newest.
func (s *Server) newestTree(ctx context.Context) (*settings.Tree, bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	tree, err := s.cfg.Control.Confirm(ctx)
	if err != nil {
		return s.cfg.Control.Tree(), false
	}
	return tree, true
}

func (s *Server) getSettings(req *restful.Request, resp *restful.Response) {
	path := req.QueryParameter("organisation")
	operator := operatorOf(req)
	if path == "" {
		path = operator.Organisation
	}
	if !operator.covers(path) {
		reject(resp, http.StatusForbidden, adminapi.CodeForbidden, "operator %q is restricted to %q", operator.Name, operator.Organisation)
		return
	}
	tree, confirmed := s.newestTree(req.Request.Context())
	root, ok := tree.Document(path)
	if !ok {
		reject(resp, http.StatusNotFound, string(settings.CodeNotFound), "there is no organisation %q", path)
		return
	}
	out := adminapi.Settings{Version: tree.Version().String(), Confirmed: confirmed, Path: path, Root: root}
	if path == "" {
		globals := tree.Globals()
		out.Globals = &globals
	}
	writeResult(resp, http.StatusOK, tree.Version(), out)
}

// changeHandler returns a handler that commits the command built from a request.
func (s *Server) changeHandler(needsVersion bool, build func(req *restful.Request, text string) settings.Command) restful.RouteFunction {
	return func(req *restful.Request, resp *restful.Response) {
		text, ok := readText(req, resp)
		if !ok {
			return
		}
		c, ok := newChange(req, resp, build(req, text), needsVersion)
		if !ok {
			return
		}
		if outcome, ok := s.commit(req, resp, c); ok {
			s.writeAccepted(req, resp, c, outcome)
		}
	}
}

func putSettings(_ *restful.Request, text string) settings.Command {
	return settings.Command{Op: settings.PutDocument, Document: text}
}

func putGlobals(_ *restful.Request, text string) settings.Command {
	return settings.Command{Op: settings.PutGlobals, Globals: text}
}

func putNode(req *restful.Request, text string) settings.Command {
	return settings.Command{Op: settings.PutNode, Path: organisationOf(req), Node: text}
}

func patchNode(req *restful.Request, text string) settings.Command {
	return settings.Command{Op: settings.PatchNode, Path: organisationOf(req), Node: text}
}

func removeNode(req *restful.Request, _ string) settings.Command {
	return settings.Command{Op: settings.RemoveNode, Path: organisationOf(req)}
}

func (s *Server) getGlobals(req *restful.Request, resp *restful.Response) {
	tree, _ := s.newestTree(req.Request.Context())
	writeResult(resp, http.StatusOK, tree.Version(), adminapi.Globals{Version: tree.Version().String(), Globals: tree.Globals()})
}

func (s *Server) checkSettings(req *restful.Request, resp *restful.Response) {
	text, ok := readText(req, resp)
	if !ok {
		return
	}
	_, problems := settings.Parse("", []byte(text))
	writeResult(resp, http.StatusOK, s.cfg.Control.Tree().Version(), adminapi.Check{Valid: len(problems) == 0, Problems: problems})
}

func (s *Server) rollback(req *restful.Request, resp *restful.Response) {
	var body adminapi.Rollback
	if !readBody(req, resp, &body) {
		return
	}
	c, ok := newChange(req, resp, settings.Command{Op: settings.Rollback, To: body.To}, true)
	if !ok {
		return
	}
	if outcome, ok := s.commit(req, resp, c); ok {
		s.writeAccepted(req, resp, c, outcome)
	}
}

func (s *Server) getHistory(req *restful.Request, resp *restful.Response) {
	tree, _ := s.newestTree(req.Request.Context())
	operator := operatorOf(req)
	out := adminapi.History{Version: tree.Version().String(), Changes: []adminapi.HistoryChange{}}
	limit := limitOf(req, defaultHistory)
	for _, entry := range s.cfg.Control.History(maxHistory) {
		if len(out.Changes) < limit && operator.covers(entry.Path) {
			out.Changes = append(out.Changes, historyChange(entry))
		}
	}
	writeResult(resp, http.StatusOK, tree.Version(), out)
}

func historyChange(e settings.HistoryEntry) adminapi.HistoryChange {
	return adminapi.HistoryChange{
		Version: e.Version.String(), AtMS: e.AtMS, Operator: e.Actor, ChangeID: strings.TrimPrefix(e.ChangeID, e.Actor+"/"),
		Op: e.Op, Organisation: e.Path, KeyID: e.KeyID,
	}
}

// limitOf returns the query parameter limit, at most maxHistory, or fallback if it is missing or invalid.
func limitOf(req *restful.Request, fallback int) int {
	n, err := strconv.Atoi(req.QueryParameter("limit"))
	if err != nil || n < 1 {
		return fallback
	}
	return min(n, maxHistory)
}

func (s *Server) explain(req *restful.Request, resp *restful.Response) {
	organisation, class := req.QueryParameter("organisation"), req.QueryParameter("class")
	operator := operatorOf(req)
	if !operator.covers(organisation) {
		reject(resp, http.StatusForbidden, adminapi.CodeForbidden, "operator %q is restricted to %q", operator.Name, operator.Organisation)
		return
	}
	tree, _ := s.newestTree(req.Request.Context())
	origins := tree.Explain(organisation, class)
	if origins == nil {
		reject(resp, http.StatusNotFound, string(settings.CodeNotFound), "there is no class %q of organisation %q", class, organisation)
		return
	}
	writeResult(resp, http.StatusOK, tree.Version(), adminapi.Explanation{
		Version: tree.Version().String(), Organisation: organisation, Class: class, Origins: origins,
	})
}

func (s *Server) listOrganisations(req *restful.Request, resp *restful.Response) {
	tree, _ := s.newestTree(req.Request.Context())
	operator := operatorOf(req)
	out := adminapi.Organisations{Version: tree.Version().String(), Organisations: []adminapi.Organisation{}}
	for _, path := range tree.Organisations() {
		if operator.covers(path) {
			out.Organisations = append(out.Organisations, adminapi.Organisation{Path: path, Classes: tree.Classes(path), Keys: countKeys(tree, path)})
		}
	}
	writeResult(resp, http.StatusOK, tree.Version(), out)
}

func countKeys(tree *settings.Tree, path string) int {
	n := 0
	for _, k := range tree.Keys(path) {
		if !k.Withdrawn {
			n++
		}
	}
	return n
}

func (s *Server) getOrganisation(req *restful.Request, resp *restful.Response) {
	tree, _ := s.newestTree(req.Request.Context())
	path := organisationOf(req)
	node, ok := tree.Node(path)
	if !ok {
		reject(resp, http.StatusNotFound, string(settings.CodeNotFound), "there is no organisation %q", path)
		return
	}
	writeResult(resp, http.StatusOK, tree.Version(), adminapi.Node{Version: tree.Version().String(), Path: path, Node: node})
}
