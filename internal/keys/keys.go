// Package keys makes callers' keys and operators' tokens.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/google/uuid"

	"github.com/guavastack/guavastack/internal/core/settings"
)

// Key is a new key of a caller. Secret is shown once and never stored.
type Key struct {
	ID     string
	Secret string
	Hash   string // SHA-256 of Secret in hexadecimal
}

// New returns a new key with a random id.
func New() Key {
	secret, hash := NewSecret()
	return Key{ID: "key-" + uuid.NewString(), Secret: secret, Hash: hash}
}

// NewSecret returns a key and its hash, in the form in which entries look for keys.
func NewSecret() (secret, hash string) {
	secret = settings.KeyPrefix + random()
	return secret, Hash(secret)
}

// NewToken returns a new operator's token.
func NewToken() string { return "gvt_" + random() }

// Hash returns the form in which a key or token is stored.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func random() string {
	var b [settings.KeyRandomBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return base64.RawURLEncoding.EncodeToString(b[:])
}
