package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/emicklei/go-restful/v3"
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/adminapi"
)

// Role is what an operator may do. Each role may do what the ones before it may.
type Role string

// The roles.
const (
	Read       Role = "read"
	Operate    Role = "operate"    // keys
	Administer Role = "administer" // settings
)

func (r Role) rank() int {
	switch r {
	case Read:
		return 1
	case Operate:
		return 2
	case Administer:
		return 3
	}
	return 0
}

// Token is an operator's token, known by its hash.
type Token struct {
	Name         string // of the operator, for the audit record
	SHA256       string // of the token, in hexadecimal
	Role         Role
	Organisation string // the operator sees this node and those below it; empty: all
}

func (t Token) check() error {
	if h, err := hex.DecodeString(t.SHA256); err != nil || len(h) != sha256.Size {
		return errors.NotValidf("hash of the token of operator %q", t.Name)
	}
	if t.Role.rank() == 0 {
		return errors.NotValidf("role %q of operator %q", t.Role, t.Name)
	}
	if t.Name == "" {
		return errors.NotValidf("operator token without a name")
	}
	return nil
}

// covers reports whether path is within the operator's subtree.
func (t Token) covers(path string) bool {
	return t.Organisation == "" || path == t.Organisation || strings.HasPrefix(path, t.Organisation+"/")
}

// mayShape reports whether the operator may change what the node at path sets. The node that bounds an operator is
// for those above: it holds the operator's own limits.
func (t Token) mayShape(path string) bool {
	return t.Organisation == "" || (t.covers(path) && path != t.Organisation)
}

const attributeOperator = "operator"

// authenticate is a filter that finds the operator of a request.
func (s *Server) authenticate(req *restful.Request, resp *restful.Response, chain *restful.FilterChain) {
	token, ok := strings.CutPrefix(req.HeaderParameter("Authorization"), "Bearer ")
	if operator, known := s.operator(token); ok && known {
		req.SetAttribute(attributeOperator, operator)
		req.Request.Body = http.MaxBytesReader(resp.ResponseWriter, req.Request.Body, maxBodyBytes)
		chain.ProcessFilter(req, resp)
		return
	}
	resp.Header().Set("WWW-Authenticate", "Bearer")
	fail(resp, http.StatusUnauthorized, adminapi.CodeUnauthorized, "missing or unknown operator token")
}

// operator compares with every token, so that the time doesn't tell how far a guess got.
func (s *Server) operator(token string) (Token, bool) {
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	var found Token
	known := false
	for _, t := range s.cfg.Tokens {
		if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(t.SHA256))) == 1 {
			found, known = t, true
		}
	}
	return found, known
}

func operatorOf(req *restful.Request) Token {
	t, _ := req.Attribute(attributeOperator).(Token)
	return t
}

// permit returns a filter that lets operators pass who have the role.
func permit(role Role) restful.FilterFunction {
	return func(req *restful.Request, resp *restful.Response, chain *restful.FilterChain) {
		operator := operatorOf(req)
		if operator.Role.rank() < role.rank() {
			fail(resp, http.StatusForbidden, adminapi.CodeForbidden, "operator %q has the role %s; this needs %s", operator.Name, operator.Role, role)
			return
		}
		chain.ProcessFilter(req, resp)
	}
}

// permitRoot lets operators of the whole tree pass.
func permitRoot(req *restful.Request, resp *restful.Response, chain *restful.FilterChain) {
	if operator := operatorOf(req); operator.Organisation != "" {
		fail(resp, http.StatusForbidden, adminapi.CodeForbidden, "operator %q is bound to %q; this concerns the whole system", operator.Name, operator.Organisation)
		return
	}
	chain.ProcessFilter(req, resp)
}

// permitPath lets operators pass whose subtree holds the organisation of the path.
func permitPath(req *restful.Request, resp *restful.Response, chain *restful.FilterChain) {
	if operator, path := operatorOf(req), organisationOf(req); !operator.covers(path) {
		fail(resp, http.StatusForbidden, adminapi.CodeForbidden, "operator %q is bound to %q", operator.Name, operator.Organisation)
		return
	}
	chain.ProcessFilter(req, resp)
}

// permitShape lets operators pass who may change what the organisation of the path sets.
func permitShape(req *restful.Request, resp *restful.Response, chain *restful.FilterChain) {
	if operator, path := operatorOf(req), organisationOf(req); !operator.mayShape(path) {
		fail(resp, http.StatusForbidden, adminapi.CodeForbidden, "operator %q may change only what is below %q", operator.Name, operator.Organisation)
		return
	}
	chain.ProcessFilter(req, resp)
}
