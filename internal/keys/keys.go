// Package keys generates callers' keys and operators' tokens.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/google/uuid"

	"github.com/guavastack/guavastack/internal/core/settings"
)

// Key is a new key of a caller. Secret is shown only once and never stored.
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

// NewSecret returns the secret of a new key and its hash. Entries detect keys in requests by the format of the secret.
func NewSecret() (secret, hash string) {
	secret = settings.KeyPrefix + randomText()
	return secret, Hash(secret)
}

// NewToken returns a new operator's token.
func NewToken() string { return "gvt_" + randomText() }

// Hash returns the SHA-256 of a key or token in hexadecimal, the form in which it is stored.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func randomText() string {
	var b [settings.KeyRandomBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return base64.RawURLEncoding.EncodeToString(b[:])
}
