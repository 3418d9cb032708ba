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

// Role is the access level of an operator. Each role includes the ones before it.
type Role string

// The roles.
const (
	Read       Role = "read"
	Operate    Role = "operate"    // may change keys
	Administer Role = "administer" // may change settings
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

// Token is the access token of an operator, given by its hash.
type Token struct {
	Name         string // of the operator, for the audit record
	SHA256       string // of the token, in hexadecimal
	Role         Role
	Organisation string // the operator is restricted to this node and those below it; empty: no restriction
}

func (t Token) validate() error {
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

// covers reports whether path is in the operator's subtree.
func (t Token) covers(path string) bool {
	return t.Organisation == "" || path == t.Organisation || strings.HasPrefix(path, t.Organisation+"/")
}

// mayConfigure reports whether the operator may change the settings of the node at path. An operator may not change the
// node that it is restricted to, because that node holds the operator's own limits.
func (t Token) mayConfigure(path string) bool {
	return t.Organisation == "" || (t.covers(path) && path != t.Organisation)
}

const attributeOperator = "operator"

// authenticate is a filter that identifies the operator of a request by its token.
func (s *Server) authenticate(req *restful.Request, resp *restful.Response, chain *restful.FilterChain) {
	token, ok := strings.CutPrefix(req.HeaderParameter("Authorization"), "Bearer ")
	if operator, known := s.findOperator(token); ok && known {
		req.SetAttribute(attributeOperator, operator)
		chain.ProcessFilter(req, resp)
		return
	}
	resp.Header().Set("WWW-Authenticate", "Bearer")
	reject(resp, http.StatusUnauthorized, adminapi.CodeUnauthorized, "missing or unknown operator token")
}

// findOperator returns the operator with a token. It compares the hash with those of all operators in constant time, so that the
// response time reveals nothing about the tokens.
func (s *Server) findOperator(token string) (Token, bool) {
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

// permit returns a filter that admits operators who have the role.
func permit(role Role) restful.FilterFunction {
	return func(req *restful.Request, resp *restful.Response, chain *restful.FilterChain) {
		operator := operatorOf(req)
		if operator.Role.rank() < role.rank() {
			reject(resp, http.StatusForbidden, adminapi.CodeForbidden, "operator %q has the role %s; the request needs %s", operator.Name, operator.Role, role)
			return
		}
		chain.ProcessFilter(req, resp)
	}
}

// permitRoot is a filter that admits operators who are not restricted to an organisation.
func permitRoot(req *restful.Request, resp *restful.Response, chain *restful.FilterChain) {
	if operator := operatorOf(req); operator.Organisation != "" {
		reject(resp, http.StatusForbidden, adminapi.CodeForbidden, "operator %q is restricted to %q; the request concerns the whole system", operator.Name, operator.Organisation)
		return
	}
	chain.ProcessFilter(req, resp)
}

// permitPath is a filter that admits operators whose subtree contains the organisation in the request's path.
func permitPath(req *restful.Request, resp *restful.Response, chain *restful.FilterChain) {
	if operator, path := operatorOf(req), organisationOf(req); !operator.covers(path) {
		reject(resp, http.StatusForbidden, adminapi.CodeForbidden, "operator %q is restricted to %q", operator.Name, operator.Organisation)
		return
	}
	chain.ProcessFilter(req, resp)
}

// permitConfigure is a filter that admits operators who may change the settings of the organisation in the request's path.
func permitConfigure(req *restful.Request, resp *restful.Response, chain *restful.FilterChain) {
	if operator, path := operatorOf(req), organisationOf(req); !operator.mayConfigure(path) {
		reject(resp, http.StatusForbidden, adminapi.CodeForbidden, "operator %q may change only organisations below %q", operator.Name, operator.Organisation)
		return
	}
	chain.ProcessFilter(req, resp)
}
