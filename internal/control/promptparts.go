package control

import (
	"context"
	"time"

	"github.com/guavastack/guavastack/internal/core/poison"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// promptPartInterval is the time between decisions on prompt parts.
const promptPartInterval = 200 * time.Millisecond

// decideOnPromptParts blocks poisonous parts of prompts and removes expired ones from the list, while this member leads.
func (s *Service) decideOnPromptParts(ctx context.Context) {
	listed := make(poison.FirstSeen) // by this member as the leader
	for wait.For(ctx, promptPartInterval) {
		if !s.leads() {
			clear(listed)
			continue
		}
		now := time.Now()
		list := s.hub.promptParts()
		listed.Update(list, now)
		var command poison.Command
		next := list.NextToBlock(func(part uint64) bool { return now.Sub(listed[part]) >= poison.DecisionTime })
		if next != nil {
			command.Block = []uint64{next.Part}
		}
		command.Expire = list.HasExpired(now.UnixMilli())
		if command.IsEmpty() {
			continue
		}
		if _, err := s.commit(ctx, poison.ModuleName, command); err != nil {
			s.cfg.Logger.Warn("decision on prompt parts not committed", "error", err)
			continue
		}
		if next != nil {
			s.cfg.Logger.Warn("prompt part blocked", "part", poison.Format(next.Part), "crashes", next.Crashes, "answer_begun", next.Begun)
		}
	}
}

// promptPartsMessage converts a list to a message for watchers.
func promptPartsMessage(list *poison.List) *controlpb.PromptPartList {
	m := &controlpb.PromptPartList{Version: list.Version}
	for i := range list.Suspects {
		s := &list.Suspects[i]
		m.Parts = append(m.Parts, &controlpb.PromptPart{Id: s.Part, Begun: s.Begun, BlockedAtMs: s.BlockedAtMS})
	}
	return m
}
