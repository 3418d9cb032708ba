package keys

import (
	"strings"
	"testing"

	"github.com/guavastack/guavastack/internal/core/settings"
)

func TestNewKeyFormat(t *testing.T) {
	k := New()
	if !strings.HasPrefix(k.Secret, settings.KeyPrefix) || len(k.Secret) != settings.KeyLength {
		t.Errorf("key has %d characters, want prefix %q and a length of %d", len(k.Secret), settings.KeyPrefix, settings.KeyLength)
	}
	if k.Hash != Hash(k.Secret) || New().Secret == k.Secret {
		t.Error("got another hash than that of the secret, or the same secret twice")
	}
}
