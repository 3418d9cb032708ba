package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/proto/linkpb"
)

// keyFinder finds callers' keys in what would go to a backend server.
//
// A key is known by its prefix and by its hash, so that the key of any organisation is found, whether or not the
// caller also presented it. The presented credential is found in any form, known or not.
type keyFinder struct {
	tree      *settings.Tree
	presented string
}

// in reports whether text contains a key, as it stands or percent-encoded.
func (f keyFinder) in(text string) bool {
	if f.plain(text) {
		return true
	}
	if !strings.ContainsRune(text, '%') {
		return false
	}
	decoded, err := url.QueryUnescape(text)
	return err == nil && f.plain(decoded)
}

func (f keyFinder) plain(text string) bool {
	if f.presented != "" && strings.Contains(text, f.presented) {
		return true
	}
	for {
		i := strings.Index(text, settings.KeyPrefix)
		if i < 0 {
			return false
		}
		text = text[i:]
		if f.isKey(text) {
			return true
		}
		text = text[len(settings.KeyPrefix):]
	}
}

// isKey reports whether text begins with a key that the tree knows.
func (f keyFinder) isKey(text string) bool {
	if len(text) < settings.KeyLength {
		return false
	}
	_, ok := f.tree.KeyByHash(sha256.Sum256([]byte(text[:settings.KeyLength])))
	return ok
}

// inBody reports whether a body contains a key: as it stands, percent-encoded, or escaped in a JSON string.
func (f keyFinder) inBody(body []byte) bool {
	if f.in(string(body)) {
		return true
	}
	if !bytes.ContainsRune(body, '\\') {
		return false
	}
	var v any
	if json.Unmarshal(body, &v) != nil {
		return false
	}
	return f.inJSON(v)
}

func (f keyFinder) inJSON(v any) bool {
	switch v := v.(type) {
	case string:
		return f.plain(v)
	case []any:
		for _, e := range v {
			if f.inJSON(e) {
				return true
			}
		}
	case map[string]any:
		for k, e := range v {
			if f.plain(k) || f.inJSON(e) {
				return true
			}
		}
	}
	return false
}

// check refuses a request that would carry a key to a backend server.
func (f keyFinder) check(pathAndQuery string, headers []*linkpb.Header, body []byte) *refusal {
	place := ""
	switch {
	case f.in(pathAndQuery):
		place = "path or query"
	case f.inHeaders(headers):
		place = "headers"
	case f.inBody(body):
		place = "body"
	default:
		return nil
	}
	return refuse(http.StatusBadRequest, "key_in_request",
		"the %s of the request contains a key; send the key in the Authorization header only", place)
}

func (f keyFinder) inHeaders(headers []*linkpb.Header) bool {
	for _, h := range headers {
		if f.in(h.Value) {
			return true
		}
	}
	return false
}
