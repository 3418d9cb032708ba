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

// keyIDBytes is the number of hash bytes in a key's id.
const keyIDBytes = 8

// keyID derives the id of a key from the id of the change that creates it, so that a resend finds the key created before.
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
	tree, _ := s.newestTree(req.Request.Context())
	path := organisationOf(req)
	if !tree.HasOrganisation(path) {
		reject(resp, http.StatusNotFound, string(settings.CodeNotFound), "there is no organisation %q", path)
		return
	}
	out := adminapi.Keys{Version: tree.Version().String(), Keys: []adminapi.Key{}}
	for _, k := range tree.Keys(path) {
		out.Keys = append(out.Keys, apiKey(k))
	}
	writeResult(resp, http.StatusOK, tree.Version(), out)
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
	s.commitNewKey(req, resp, command, func(c *settings.Command, id string) { c.KeyID = id })
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
	s.commitNewKey(req, resp, command, func(c *settings.Command, id string) { c.NewKeyID = id })
}

// commitNewKey commits a command that creates a key and returns the key in the response. The key is not stored, so the response
// to a resend can't contain it; that response contains the key's id, so that the operator can rotate or withdraw the key.
func (s *Server) commitNewKey(req *restful.Request, resp *restful.Response, command settings.Command, setID func(*settings.Command, string)) {
	c, ok := newChange(req, resp, command, false)
	if !ok {
		return
	}
	id := keyID(c.command.ChangeID)
	secret, hash := keys.NewSecret()
	setID(&c.command, id)
	c.command.KeyHash = hash
	if tree, _ := s.newestTree(req.Request.Context()); hasKey(tree, id) {
		reject(resp, http.StatusConflict, string(settings.CodeExists), "key %q was already created by this change and is shown only once; rotate or withdraw it", id)
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
	writeResult(resp, http.StatusCreated, outcome.Version, adminapi.CreatedKey{Change: s.awaitInForce(req, c, outcome), Key: key, Secret: secret})
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
		s.writeAccepted(req, resp, c, outcome)
	}
}
