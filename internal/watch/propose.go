package watch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/guavastack/guavastack/internal/core/claim"
	"github.com/guavastack/guavastack/internal/core/poison"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/proto/controlpb"
	"github.com/juju/errors"
)

// Errors of Propose.
const (
	// ErrUnknownOutcome means that the command may have been committed, or may still be.
	ErrUnknownOutcome = errors.ConstError("the outcome of the command is unknown")
	// ErrUnavailable means that the command was not committed and never will be.
	ErrUnavailable = errors.ConstError("no control member accepted the command")
)

// Propose commits one command and returns its outcome. It tries one control member after another until ctx ends. If one
// of them may have committed the command, it is retried only if it is idempotent.
func (c *Client) Propose(ctx context.Context, cmd state.Command) (json.RawMessage, error) {
	data, err := json.Marshal(cmd)
	if err != nil {
		return nil, errors.Trace(err)
	}
	first := int(c.leader.Load())
	var mayHaveCommitted bool
	var last error
	backoff := minBackoff
	members := c.controlMembers()
	for i := 0; ctx.Err() == nil && len(members) > 0; i++ {
		at := (first + i) % len(members)
		result, unknown, err := c.proposeTo(ctx, members[at], data)
		if err == nil {
			c.leader.Store(int64(at))
			return result, nil
		}
		last = err
		mayHaveCommitted = mayHaveCommitted || unknown
		if unknown && !isIdempotent(cmd) {
			break
		}
		if (i+1)%len(members) == 0 {
			pause(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
	if last == nil {
		last = context.Cause(ctx)
	}
	if mayHaveCommitted {
		return nil, errors.WithType(errors.Annotate(last, "propose"), ErrUnknownOutcome)
	}
	return nil, errors.WithType(errors.Annotate(last, "propose"), ErrUnavailable)
}

// isIdempotent reports whether a command that is committed twice takes effect once and returns its first outcome. Claims are
// deduplicated by request id, settings by change id, reports on prompt parts by server and part.
func isIdempotent(cmd state.Command) bool {
	switch cmd.Module {
	case claim.ModuleName, poison.ModuleName:
		return true
	case settings.ModuleName:
		var body struct {
			ChangeID string `json:"change_id"`
		}
		return json.Unmarshal(cmd.Body, &body) == nil && body.ChangeID != ""
	}
	return false
}

// ReportPromptParts commits observations on parts of prompts.
func (c *Client) ReportPromptParts(ctx context.Context, report poison.Command) error {
	body, err := json.Marshal(report)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.Propose(ctx, state.Command{Module: poison.ModuleName, Body: body, Actor: c.cfg.ProcessID})
	return err
}

// proposeTo sends a command to one member. unknown is true if the command may have been committed in spite of an error.
func (c *Client) proposeTo(ctx context.Context, address string, data []byte) (result json.RawMessage, unknown bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AttemptTimeout)
	defer cancel()
	req := &controlpb.ProposeRequest{Command: data, TimeoutMs: remaining(ctx).Milliseconds()}
	var reply *controlpb.ProposeReply
	err = c.pool.Do(ctx, address, func(rpc controlpb.DRPCControlClient) error {
		var err error
		reply, err = rpc.Propose(ctx, req)
		return err
	})
	if err != nil {
		return nil, !errors.Is(err, rpcpool.ErrNotSent), err
	}
	if reply.Error != "" {
		return nil, reply.MayHaveCommitted, errors.New(reply.Error)
	}
	return reply.Result, false, nil
}

// remaining returns the time until the deadline of ctx, less an allowance for the transmission of the reply.
func remaining(ctx context.Context) time.Duration {
	const replyAllowance = 100 * time.Millisecond
	deadline, ok := ctx.Deadline()
	if !ok {
		return DefaultAttemptTimeout
	}
	return max(time.Until(deadline)-replyAllowance, replyAllowance)
}

// ReportUsage sends cumulative usage counters. It tries each control member once, until one of them accepts the report; duplicate
// reports are harmless.
func (c *Client) ReportUsage(ctx context.Context, report *controlpb.UsageReport) (*controlpb.UsageAck, error) {
	first := int(c.leader.Load())
	var last error = errors.NotFoundf("control member")
	members := c.controlMembers()
	for i := range members {
		ack, err := c.reportTo(ctx, members[(first+i)%len(members)], report)
		if err == nil {
			return ack, nil
		}
		last = err
	}
	return nil, errors.Annotate(last, "report usage")
}

func (c *Client) reportTo(ctx context.Context, address string, report *controlpb.UsageReport) (*controlpb.UsageAck, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AttemptTimeout)
	defer cancel()
	var ack *controlpb.UsageAck
	err := c.pool.Do(ctx, address, func(rpc controlpb.DRPCControlClient) error {
		var err error
		ack, err = rpc.ReportUsage(ctx, report)
		return err
	})
	return ack, err
}
