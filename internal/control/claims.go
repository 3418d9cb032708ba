package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/guavastack/guavastack/internal/core/claim"
	"github.com/guavastack/guavastack/internal/wait"
)

// claimExpiryInterval is the time between removals of old claims.
const claimExpiryInterval = time.Minute

// expireClaims removes old claims at intervals, on the leader.
func (s *Service) expireClaims(ctx context.Context) {
	for wait.For(ctx, claimExpiryInterval) {
		for s.expireClaimBatch(ctx) {
		}
	}
}

// expireClaimBatch removes a batch of expired claims and reports whether there may be more.
func (s *Service) expireClaimBatch(ctx context.Context) bool {
	if !s.leads() {
		return false
	}
	result, err := s.commit(ctx, claim.ModuleName, claim.Command{Op: claim.Expire})
	if err != nil {
		return false
	}
	var outcome claim.Outcome
	return json.Unmarshal(result, &outcome) == nil && outcome.Expired > 0
}
