package control

import (
	"context"
	"testing"

	"github.com/guavastack/guavastack/proto/controlpb"
)

// Guards against a digest of another deployment that counts as one of this group, and against refusing those of older builds.
func TestExchangeRefusesOtherGroups(t *testing.T) {
	cases := map[string]struct {
		digest  *controlpb.Digest
		refused bool
	}{
		"same group and epoch": {digest: &controlpb.Digest{Group: 7, Epoch: 5}},
		"epoch not known":      {digest: &controlpb.Digest{Group: 7}},
		"older build":          {digest: &controlpb.Digest{}},
		"other group":          {digest: &controlpb.Digest{Group: 8, Epoch: 5}, refused: true},
		"other epoch":          {digest: &controlpb.Digest{Group: 7, Epoch: 6}, refused: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			heard := 0
			s := New(Config{
				Group: soloGroup{}, GroupID: 7, Epoch: func() uint64 { return 5 },
				PeerHeard: func(Contact) { heard++ },
			})
			c.digest.Member = "2"
			_, err := s.Exchange(context.Background(), c.digest)
			if refused := err != nil; refused != c.refused || (heard == 0) != c.refused {
				t.Errorf("got error %v and %d contacts, want refused: %v", err, heard, c.refused)
			}
		})
	}
}
