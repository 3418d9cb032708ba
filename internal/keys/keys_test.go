package keys

import (
	"strings"
	"testing"

	"github.com/guavastack/guavastack/internal/core/settings"
)

func TestNewHasTheFormThatEntriesLookFor(t *testing.T) {
	k := New()
	if !strings.HasPrefix(k.Secret, settings.KeyPrefix) || len(k.Secret) != settings.KeyLength {
		t.Errorf("key has %d characters, want %q and %d in all", len(k.Secret), settings.KeyPrefix, settings.KeyLength)
	}
	if k.Hash != Hash(k.Secret) || New().Secret == k.Secret {
		t.Error("hash or randomness of the key is wrong")
	}
}
