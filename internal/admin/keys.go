package admin

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/keys"
)

// keyIDBytes is the length of a key's id before it is written in hexadecimal.
const keyIDBytes = 8

// keyID derives the id of a key from its change, so that a resend meets the key that the first sending made.
func keyID(changeID string) string {
	sum := sha256.Sum256([]byte("key " + changeID))
	return "key-" + hex.EncodeToString(sum[:keyIDBytes])
}

func apiKey(k settings.Key) adminapi.Key {
	out := adminapi.Key{ID: k.ID, Organisation: k.Organisation, Withdrawn: k.Withdrawn}
	if !k.Expires.IsZero() {
		out.ExpiresMS = k.Expires.UnixMilli()
	}
	return out
}

func (s *Server) listKeys(req *restful.Request, resp *restful.Response) {
	tree, _ := s.newest(req.Request.Context())
	path := organisationOf(req)
	if !tree.HasOrganisation(path) {
		fail(resp, http.StatusNotFound, string(settings.CodeNotFound), "there is no organisation %q", path)
		return
	}
	out := adminapi.Keys{Version: tree.Version().String(), Keys: []adminapi.Key{}}
	for _, k := range tree.Keys(path) {
		out.Keys = append(out.Keys, apiKey(k))
	}
	answer(resp, http.StatusOK, tree.Version(), out)
}

func (s *Server) createKey(req *restful.Request, resp *restful.Response) {
	var body adminapi.NewKey
	if !readBody(req, resp, &body) {
		return
	}
	command := settings.Command{Op: settings.CreateKey, Path: organisationOf(req)}
	if body.ExpiresIn > 0 {
		command.ExpiresMS = time.Now().Add(time.Duration(body.ExpiresIn)).UnixMilli()
	}
	s.makeKey(req, resp, command, func(c *settings.Command, id string) { c.KeyID = id })
}

func (s *Server) rotateKey(req *restful.Request, resp *restful.Response) {
	var body adminapi.RotateKey
	if !readBody(req, resp, &body) {
		return
	}
	command := settings.Command{
		Op: settings.RotateKey, Path: organisationOf(req), KeyID: req.PathParameter("key"),
		ExpiresMS: time.Now().Add(time.Duration(max(body.Overlap, 0))).UnixMilli(),
	}
	s.makeKey(req, resp, command, func(c *settings.Command, id string) { c.NewKeyID = id })
}

// makeKey commits a command that makes a key, and shows the key. A resend can't show it again, for nobody kept it: it
// is told the id, so that the operator can rotate or withdraw it.
func (s *Server) makeKey(req *restful.Request, resp *restful.Response, command settings.Command, setID func(*settings.Command, string)) {
	c, ok := newChange(req, resp, command, false)
	if !ok {
		return
	}
	id := keyID(c.command.ChangeID)
	secret, hash := keys.NewSecret()
	setID(&c.command, id)
	c.command.KeyHash = hash
	if tree, _ := s.newest(req.Request.Context()); hasKey(tree, id) {
		fail(resp, http.StatusConflict, string(settings.CodeExists), "this change made the key %q before; it was shown once: rotate or withdraw it", id)
		return
	}
	outcome, ok := s.commit(req, resp, c)
	if !ok {
		return
	}
	key := adminapi.Key{ID: id, Organisation: c.command.Path}
	if command.Op == settings.CreateKey {
		key.ExpiresMS = c.command.ExpiresMS
	}
	answer(resp, http.StatusCreated, outcome.Version, adminapi.CreatedKey{Change: s.report(req, c, outcome), Key: key, Secret: secret})
}

func hasKey(tree *settings.Tree, id string) bool {
	_, ok := tree.Key(id)
	return ok
}

func (s *Server) withdrawKey(req *restful.Request, _ string) settings.Command {
	return settings.Command{Op: settings.WithdrawKey, Path: organisationOf(req), KeyID: req.PathParameter("key")}
}

func (s *Server) expireKey(req *restful.Request, resp *restful.Response) {
	var body adminapi.ExpireKey
	if !readBody(req, resp, &body) {
		return
	}
	command := settings.Command{Op: settings.ExpireKey, Path: organisationOf(req), KeyID: req.PathParameter("key"), ExpiresMS: body.ExpiresMS}
	c, ok := newChange(req, resp, command, false)
	if !ok {
		return
	}
	if outcome, ok := s.commit(req, resp, c); ok {
		s.accepted(req, resp, c, outcome)
	}
}
