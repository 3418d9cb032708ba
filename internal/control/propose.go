package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
)

const (
	defaultProposeTime = 2 * time.Second
	maxProposeTime     = 30 * time.Second
	maxCommandBytes    = 8 << 20
)

// commit commits a command of this member for a module of the state machine, and returns the command's result.
func (s *Service) commit(ctx context.Context, module string, body any) (json.RawMessage, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	command, err := json.Marshal(state.Command{Module: module, Body: data, Actor: s.cfg.Group.Self().ID})
	if err != nil {
		return nil, errors.Trace(err)
	}
	reply, err := s.Propose(ctx, &controlpb.ProposeRequest{Command: command, TimeoutMs: untilDeadline(ctx).Milliseconds()})
	if err != nil {
		return nil, err
	}
	if reply.Error != "" {
		return nil, errors.New(reply.Error)
	}
	return reply.Result, nil
}

// Propose commits one command. If another member leads, the command is forwarded to it once.
func (s *Service) Propose(ctx context.Context, req *controlpb.ProposeRequest) (*controlpb.ProposeReply, error) {
	timeout := time.Duration(req.TimeoutMs) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultProposeTime
	}
	ctx, cancel := context.WithTimeout(ctx, min(timeout, maxProposeTime))
	defer cancel()
	data := req.Command
	if !req.Forwarded {
		var err error
		if data, err = stamp(data); err != nil {
			return &controlpb.ProposeReply{Error: err.Error()}, nil
		}
	}
	outcome, err := s.cfg.Group.Propose(ctx, data)
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) && !req.Forwarded && notLeader.Leader.ID != "" {
		return s.forward(ctx, notLeader.Leader, data)
	}
	return proposeReply(outcome, err), nil
}

// stamp sets the time of a command to this member's wall clock, so that no client's clock enters the log.
func stamp(data []byte) ([]byte, error) {
	if len(data) > maxCommandBytes {
		return nil, errors.NotValidf("command of %d bytes with a limit of %d", len(data), maxCommandBytes)
	}
	var cmd state.Command
	if err := json.Unmarshal(data, &cmd); err != nil {
		return nil, errors.NewNotValid(err, "command")
	}
	cmd.AtMS = time.Now().UnixMilli()
	return json.Marshal(cmd)
}

func proposeReply(outcome Outcome, err error) *controlpb.ProposeReply {
	if err == nil {
		return &controlpb.ProposeReply{Index: outcome.Index, Result: outcome.Result}
	}
	return &controlpb.ProposeReply{Error: err.Error(), MayHaveCommitted: verdict.Of(err) != verdict.NotRun}
}

func (s *Service) forward(ctx context.Context, leader Member, data []byte) (*controlpb.ProposeReply, error) {
	req := &controlpb.ProposeRequest{Command: data, TimeoutMs: untilDeadline(ctx).Milliseconds(), Forwarded: true}
	var reply *controlpb.ProposeReply
	err := s.pool.Do(ctx, s.cfg.AddressOf(leader), func(rpc controlpb.DRPCControlClient) error {
		var err error
		reply, err = rpc.Propose(ctx, req)
		return err
	})
	if err != nil {
		sent := !errors.Is(err, rpcpool.ErrNotSent)
		return &controlpb.ProposeReply{Error: err.Error(), MayHaveCommitted: sent}, nil
	}
	return reply, nil
}

func untilDeadline(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultProposeTime
	}
	return max(time.Until(deadline), time.Millisecond)
}
