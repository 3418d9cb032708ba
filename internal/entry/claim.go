package entry

import (
	"context"

	"github.com/guavastack/guavastack/proto/linkpb"
)

// keptAnswer collects a small answer for its claim.
type keptAnswer struct{}

func (k *keptAnswer) head(*linkpb.Head) {}
func (k *keptAnswer) write([]byte)      {}

func (s *Server) claimFor(context.Context, *attempt) *refusal { return nil }
func (s *Server) claimOutcome(*attempt, result)               {}
