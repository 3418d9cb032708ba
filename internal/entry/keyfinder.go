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

// keyFinder detects callers' keys in data that would be sent to a backend server.
//
// A key is detected by its prefix and its hash, so that the key of any organisation is found, whether or not the caller
// also presented it. The presented credential is found even if it is not a valid key.
type keyFinder struct {
	tree      *settings.Tree
	presented string
}

// inText reports whether text contains a key, either literally or percent-encoded.
func (f keyFinder) inText(text string) bool {
	if f.inLiteral(text) {
		return true
	}
	if !strings.ContainsRune(text, '%') {
		return false
	}
	decoded, err := url.QueryUnescape(text)
	return err == nil && f.inLiteral(decoded)
}

func (f keyFinder) inLiteral(text string) bool {
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

// isKey reports whether text begins with a key of the settings tree.
func (f keyFinder) isKey(text string) bool {
	if len(text) < settings.KeyLength {
		return false
	}
	_, ok := f.tree.KeyByHash(sha256.Sum256([]byte(text[:settings.KeyLength])))
	return ok
}

// inBody reports whether a body contains a key, either literally, percent-encoded, or escaped in a JSON string.
func (f keyFinder) inBody(body []byte) bool {
	if f.inText(string(body)) {
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
		return f.inLiteral(v)
	case []any:
		for _, e := range v {
			if f.inJSON(e) {
				return true
			}
		}
	case map[string]any:
		for k, e := range v {
			if f.inLiteral(k) || f.inJSON(e) {
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
	case f.inText(pathAndQuery):
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
		if f.inText(h.Value) {
			return true
		}
	}
	return false
}
