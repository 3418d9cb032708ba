package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/claim"
	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/linkpb"
)

const (
	// claimTimeout bounds the commit of one claim command.
	claimTimeout = 3 * time.Second
	// maxKeptAnswerBytes is the size of the largest answer that is stored in the replicated log.
	maxKeptAnswerBytes = 4 << 10
	// maxIdempotencyKeyBytes is the length of the longest idempotency key accepted.
	maxIdempotencyKeyBytes = 255
	// attachInterval is the time between attempts to attach to a request to which another entry is attached.
	attachInterval = 100 * time.Millisecond
)

// claimKey returns the key of the claim of x.
func claimKey(x *exchange) claim.Key {
	return claim.Key{Organisation: x.organisation, Route: x.model, Key: x.idempotencyKey}
}

// bodyDigest returns a hash of method, path and body. It detects the use of one idempotency key for different requests.
func bodyDigest(x *exchange) string {
	h := sha256.New()
	_, _ = h.Write([]byte(x.method + " " + x.pathAndQuery + "\n"))
	_, _ = h.Write(x.body)
	return hex.EncodeToString(h.Sum(nil))
}

// command returns a command with the given operation on the claim of the attempt.
func (a *attempt) command(op claim.Op) claim.Command {
	return claim.Command{
		Op:        op,
		Key:       claimKey(a.x),
		Digest:    bodyDigest(a.x),
		RequestID: a.id.String(),
		Agent:     claim.Agent{ID: a.server.ID, Incarnation: a.server.Incarnation},
	}
}

// proposeClaim commits a command on a claim and returns its outcome.
func (s *Server) proposeClaim(ctx context.Context, c claim.Command) (claim.Outcome, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return claim.Outcome{}, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	data, err := s.dir.Propose(ctx, state.Command{Module: claim.ModuleName, AtMS: time.Now().UnixMilli(), Body: body, Actor: s.cfg.ID})
	if err != nil {
		return claim.Outcome{}, err
	}
	var out claim.Outcome
	if err := json.Unmarshal(data, &out); err != nil {
		return claim.Outcome{}, errors.Annotate(err, "decode claim outcome")
	}
	return out, nil
}

// claim claims the idempotency key of the exchange, if it has one, for the attempt. If the attempt may not be dispatched, it
// returns the result of the exchange: a refusal, or the answer of the request that holds the key.
func (a *attempt) claim(ctx context.Context) (r result, mayDispatch bool) {
	x := a.x
	if x.idempotencyKey == "" {
		return result{}, true
	}
	c := a.command(claim.Claim)
	if x.claimedAs != "" {
		// An earlier attempt of the same exchange holds the key and is known not to have run.
		c.Op, c.Previous = claim.Takeover, x.claimedAs
	}
	out, err := a.s.proposeClaim(ctx, c)
	if err != nil {
		return claimFailedResult(err), false
	}
	return a.handleClaim(ctx, out, true)
}

// claimFailedResult returns the result if the claim could not be committed; the request has not been dispatched.
func claimFailedResult(err error) result {
	ref := refuse(http.StatusServiceUnavailable, "claim_failed", "the idempotency key could not be claimed")
	ref.Cause = err
	return result{verdict: verdict.NotRun, err: ref}
}

// handleClaim acts on the outcome of a claim. mayFence states whether a claim in progress may be fenced and taken over.
func (a *attempt) handleClaim(ctx context.Context, out claim.Outcome, mayFence bool) (result, bool) {
	conflict := func(v verdict.Verdict, status int, code, message string) (result, bool) {
		return result{verdict: v, err: &refusal{Error: verdict.New(v, code, "%s", message), status: status}}, false
	}
	switch out.State {
	case claim.StateClaimed:
		a.x.claimedAs = a.id.String()
		return result{}, true
	case claim.StateDone:
		return a.replay(ctx, out), false
	case claim.StateInProgress:
		return a.joinInProgress(ctx, out, mayFence)
	case claim.StateOtherBody:
		return conflict(verdict.NotRun, http.StatusUnprocessableEntity, "idempotency_key_reused",
			"the idempotency key was used with another request")
	case claim.StateFull:
		return conflict(verdict.NotRun, http.StatusServiceUnavailable, "too_many_claims",
			"the organisation has too many idempotency keys in use")
	default:
		return conflict(verdict.MayHaveRun, http.StatusConflict, "outcome_unknown",
			"an earlier request with this idempotency key may have run; its outcome is not known")
	}
}

// replay sends the stored answer of the request that ran under the key.
func (a *attempt) replay(ctx context.Context, out claim.Outcome) result {
	kept := out.Answer
	if kept == nil || kept.Omitted {
		if r, found := a.attach(ctx, out); found {
			return r
		}
		ref := &refusal{
			Error: verdict.New(verdict.Ran, "answer_not_kept",
				"the request with this idempotency key has run; its answer is no longer stored"),
			status: http.StatusConflict,
		}
		return result{verdict: verdict.Ran, err: ref}
	}
	if id, err := parseRequestID(out.RequestID); err == nil {
		a.x.id = id
	}
	head := &linkpb.Head{Status: uint32(kept.Status)}
	for name, value := range kept.Headers {
		head.Headers = append(head.Headers, &linkpb.Header{Name: name, Value: value})
	}
	a.writer.writeHead(a.x.id, head)
	a.writer.write(kept.Body)
	return result{verdict: verdict.Ran, complete: true, replayed: true}
}

// joinInProgress handles a key that another, unfinished request holds: it relays that request's answer or, if fencing at
// its agent proves that it has not run, takes the key over.
func (a *attempt) joinInProgress(ctx context.Context, out claim.Outcome, mayFence bool) (result, bool) {
	if r, found := a.attach(ctx, out); found {
		return r, false
	}
	inProgress := result{verdict: verdict.MayHaveRun, err: &refusal{
		Error: verdict.New(verdict.MayHaveRun, "request_in_progress",
			"an earlier request with this idempotency key is in progress or its outcome is not known"),
		status: http.StatusConflict,
	}}
	if !mayFence {
		return inProgress, false
	}
	holder, ok := a.s.servers.Find(out.Agent.ID)
	if !ok {
		return inProgress, false
	}
	v, err := a.s.links.Fence(ctx, holder.Address, out.RequestID, out.Agent.Incarnation)
	if err != nil || v != verdict.NotRun {
		return inProgress, false
	}
	c := a.command(claim.Takeover)
	c.Previous = out.RequestID
	taken, err := a.s.proposeClaim(ctx, c)
	if err != nil {
		return claimFailedResult(err), false
	}
	return a.handleClaim(ctx, taken, false)
}

// attach relays the answer of the request that holds the key. It returns false if its agent has no record of it, has restarted
// since or is no longer registered.
func (a *attempt) attach(ctx context.Context, out claim.Outcome) (result, bool) {
	id, err := parseRequestID(out.RequestID)
	if err != nil {
		return result{}, false
	}
	server, ok := a.s.servers.Find(out.Agent.ID)
	if !ok || server.Incarnation != out.Agent.Incarnation {
		return result{}, false
	}
	r := a.s.fetchAnswer(ctx, a.x, id, server, a.writer, true)
	for r.code == linkpb.RefuseCode_REFUSE_CODE_ATTENDED && wait.For(ctx, attachInterval) {
		r = a.s.fetchAnswer(ctx, a.x, id, server, a.writer, true)
	}
	if r.code == linkpb.RefuseCode_REFUSE_CODE_UNKNOWN_REQUEST {
		return result{}, false
	}
	a.x.id = id
	r.replayed = true
	return r, true
}

// fetchAnswer relays the answer of an earlier request from the agent that keeps it. With unattended, the agent refuses while
// another entry is attached to the request.
func (s *Server) fetchAnswer(ctx context.Context, x *exchange, id requestID, server route.Backend, w *answerWriter, unattended bool) result {
	a := &attempt{s: s, x: x, id: id, server: server, writer: w, replayed: true}
	a.buffer = newReceiveBuffer(s.servers.RecordAgentLoad)
	call, err := s.links.Resume(ctx, server.Address, &linkpb.Resume{
		RequestId:    id.String(),
		Organisation: x.organisation,
		Credit:       answerCredit,
		Unattended:   unattended,
	}, a.buffer)
	if err != nil {
		return result{verdict: verdict.Of(err), err: backendError(verdict.Of(err), err)}
	}
	a.call = call
	return a.relayAnswer(ctx)
}

// settleClaim commits the outcome of the exchange to the replicated log, in the background. Until then the key stays
// claimed, so that a repeated request is not run again.
func (s *Server) settleClaim(x *exchange, r result, kept *keptAnswer) {
	if x.claimedAs == "" || r.replayed {
		return
	}
	c := claim.Command{Key: claimKey(x), Digest: bodyDigest(x), RequestID: x.claimedAs}
	switch {
	case r.complete:
		c.Op, c.Answer = claim.Done, kept.answer()
	case r.verdict == verdict.NotRun:
		c.Op = claim.Release
	default:
		c.Op = claim.Unknown
	}
	s.background.Go(func() {
		if _, err := s.proposeClaim(context.Background(), c); err != nil {
			s.cfg.Logger.Warn("claim outcome not committed; a repeated request will query the agent",
				telemetry.KeyRequestID, x.id.String(), telemetry.KeyError, err.Error())
		}
	})
}

// keptAnswer collects an answer for storage with its claim, up to maxKeptAnswerBytes. setHead and write accept a nil
// receiver.
type keptAnswer struct {
	status   int
	headers  map[string]string
	body     []byte
	tooLarge bool
}

func (k *keptAnswer) setHead(h *linkpb.Head) {
	if k == nil {
		return
	}
	k.status = int(h.Status)
	k.headers = make(map[string]string)
	for _, f := range h.Headers {
		if name := http.CanonicalHeaderKey(f.Name); returnedHeaders[name] {
			k.headers[name] = f.Value
		}
	}
}

func (k *keptAnswer) write(data []byte) {
	if k == nil || k.tooLarge {
		return
	}
	if len(k.body)+len(data) > maxKeptAnswerBytes {
		k.tooLarge, k.body = true, nil
		return
	}
	k.body = append(k.body, data...)
}

func (k *keptAnswer) answer() *claim.Answer {
	if k.tooLarge {
		return &claim.Answer{Status: k.status, Omitted: true}
	}
	return &claim.Answer{Status: k.status, Headers: k.headers, Body: k.body}
}
