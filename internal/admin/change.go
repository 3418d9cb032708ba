package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/core/member"
	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
	"github.com/guavastack/guavastack/internal/core/strict"
	"github.com/guavastack/guavastack/internal/core/verdict"
	"github.com/guavastack/guavastack/internal/requestmemory"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// maxChangeIDLength is the maximum length of a change id, in bytes.
const maxChangeIDLength = 128

// change is a change requested by an operator.
type change struct {
	id      string // as sent by the operator, or a new one
	command settings.Command
}

// newChange returns the change of a request with the id and version of its headers. If they are invalid, or If-Match is missing
// although needsVersion is set, it writes the error response and returns false.
func newChange(req *restful.Request, resp *restful.Response, command settings.Command, needsVersion bool) (change, bool) {
	id, match, ok := changeHeaders(req, resp, needsVersion)
	if !ok {
		return change{}, false
	}
	if match != "" && match != anyVersion {
		if _, err := settings.ParseVersion(match); err != nil {
			reject(resp, http.StatusBadRequest, adminapi.CodeBadRequest, "If-Match: %v", err)
			return change{}, false
		}
		command.IfMatch = match
	}
	command.ChangeID = operatorOf(req).Name + "/" + id
	return change{id: id, command: command}, true
}

// changeHeaders returns the id of a change, or a new id if the request has none, and the version that the change is based on. If
// they are invalid, it writes the error response and returns false.
func changeHeaders(req *restful.Request, resp *restful.Response, needsVersion bool) (id, match string, ok bool) {
	id = req.HeaderParameter(adminapi.HeaderChangeID)
	if len(id) > maxChangeIDLength {
		reject(resp, http.StatusBadRequest, adminapi.CodeBadRequest, "%s of %d bytes; expected at most %d", adminapi.HeaderChangeID, len(id), maxChangeIDLength)
		return "", "", false
	}
	if id == "" {
		id = uuid.NewString()
	}
	match = strings.Trim(strings.TrimPrefix(req.HeaderParameter(adminapi.HeaderIfMatch), "W/"), `"`)
	if match == "" && needsVersion {
		reject(resp, http.StatusPreconditionRequired, adminapi.CodeNeedsVersion, "expected the header If-Match with the version that was read, or * for any")
		return "", "", false
	}
	return id, match, true
}

// commit proposes a change, and writes the error response if it wasn't accepted. A change whose reply is lost is proposed
// again; its id makes that idempotent.
func (s *Server) commit(req *restful.Request, resp *restful.Response, c change) (settings.Outcome, bool) {
	resp.Header().Set(adminapi.HeaderChangeID, c.id)
	ctx, cancel := context.WithTimeout(req.Request.Context(), changeTimeout)
	defer cancel()
	outcome, err := s.propose(ctx, c.command, operatorOf(req).Name)
	s.auditChange(req, c, outcome, err)
	if err != nil {
		s.writeOutcomeError(resp, err)
		return outcome, false
	}
	if !outcome.Accepted {
		writeRefused(resp, outcome)
		return outcome, false
	}
	return outcome, true
}

// auditChange writes the audit record of an attempted change. Accepted changes are also in the history.
func (s *Server) auditChange(req *restful.Request, c change, o settings.Outcome, err error) {
	operator := operatorOf(req)
	s.cfg.Logger.Info("change", "operator", operator.Name, "op", c.command.Op, "organisation", c.command.Path, "key_id", c.command.KeyID,
		"change_id", c.id, "accepted", o.Accepted, "code", o.Code, "version", o.Version.String(), "remote", req.Request.RemoteAddr, "error", errorText(err))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// writeOutcomeError writes the error response to a change that failed or whose outcome is unknown.
func (s *Server) writeOutcomeError(resp *restful.Response, err error) {
	v := verdict.Of(err)
	e := adminapi.Error{Code: adminapi.CodeUnavailable, Message: err.Error(), Verdict: v.String()}
	status := http.StatusServiceUnavailable
	if v != verdict.NotRun {
		e.Code, status = adminapi.CodeUnknown, http.StatusGatewayTimeout
		e.Message += "; send the change again under the same " + adminapi.HeaderChangeID
	}
	resp.Header().Set("Retry-After", "1")
	writeError(resp, status, e)
}

// propose proposes a command, with retries, until it has an outcome or ctx ends.
func (s *Server) propose(ctx context.Context, command settings.Command, actor string) (settings.Outcome, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return settings.Outcome{}, errors.Trace(err)
	}
	data, err := json.Marshal(state.Command{Module: settings.ModuleName, Body: body, Actor: actor})
	if err != nil {
		return settings.Outcome{}, errors.Trace(err)
	}
	var outcome settings.Outcome
	err = s.proposeData(ctx, data, &outcome)
	return outcome, err
}

// proposeData proposes an encoded command, with retries, until outcome is filled in or ctx ends.
func (s *Server) proposeData(ctx context.Context, data []byte, outcome any) error {
	mayHaveCommitted := false
	for {
		unknown, err := s.proposeOnce(ctx, data, outcome)
		if err == nil {
			return nil
		}
		mayHaveCommitted = mayHaveCommitted || unknown
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return noOutcomeError(err, mayHaveCommitted)
		}
	}
}

// noOutcomeError returns the error for a change without an outcome. Its verdict states whether the change may have been committed.
func noOutcomeError(cause error, mayHaveCommitted bool) error {
	v := verdict.NotRun
	if mayHaveCommitted {
		v = verdict.MayHaveRun
	}
	return &verdict.Error{Verdict: v, Code: "no_outcome", Message: "the control group returned no outcome", Cause: cause}
}

// proposeOnce proposes a command once. With an error, unknown reports whether the command may have been committed.
func (s *Server) proposeOnce(ctx context.Context, data []byte, outcome any) (unknown bool, err error) {
	reply, err := s.cfg.Control.Propose(ctx, &controlpb.ProposeRequest{Command: data, TimeoutMs: attemptTimeout.Milliseconds()})
	if err != nil {
		return true, err
	}
	if reply.Error != "" {
		return reply.MayHaveCommitted, errors.New(reply.Error)
	}
	return true, json.Unmarshal(reply.Result, outcome)
}

// writeAccepted writes the response to an accepted change.
func (s *Server) writeAccepted(req *restful.Request, resp *restful.Response, c change, o settings.Outcome) {
	writeResult(resp, http.StatusOK, o.Version, s.awaitInForce(req, c, o))
}

// awaitInForce waits until an accepted change is in force in all processes, or the operator's waiting time is over. It
// returns the response, which lists the processes that are behind.
func (s *Server) awaitInForce(req *restful.Request, c change, o settings.Outcome) adminapi.Change {
	ctx, cancel := context.WithTimeout(req.Request.Context(), waitTimeout(req))
	defer cancel()
	behind := s.cfg.Control.WaitInForce(ctx, o.Version)
	return adminapi.Change{Version: o.Version.String(), ChangeID: c.id, InForce: len(behind) == 0, Behind: processIDs(behind)}
}

// waitTimeout returns how long the operator waits for a change to be in force everywhere: the query parameter wait, at most
// maxWait, or defaultWait if it is missing or invalid.
func waitTimeout(req *restful.Request) time.Duration {
	d, err := time.ParseDuration(req.QueryParameter("wait"))
	if err != nil || d < 0 {
		return defaultWait
	}
	return min(d, maxWait)
}

func processIDs(processes []member.Process) []string {
	var ids []string
	for _, p := range processes {
		ids = append(ids, p.ID)
	}
	return ids
}

// readText returns the body of a request. If it can't be read, it writes the error response and returns false.
func readText(req *restful.Request, resp *restful.Response) (string, bool) {
	data, err := requestmemory.ReadAll(resp.ResponseWriter, req.Request, maxBodyBytes)
	if err != nil {
		var tooLarge *http.MaxBytesError
		var refused *requestmemory.Refusal
		status := http.StatusBadRequest
		switch {
		case errors.As(err, &refused):
			status = refused.Status
		case errors.As(err, &tooLarge):
			status = http.StatusRequestEntityTooLarge
		}
		reject(resp, status, adminapi.CodeBadRequest, "body: %v", err)
		return "", false
	}
	return string(data), true
}

// readBody decodes the body into dst. An empty body leaves dst unchanged. If the body is invalid or has unknown fields, it writes
// the error response and returns false.
func readBody(req *restful.Request, resp *restful.Response, dst any) bool {
	text, ok := readText(req, resp)
	if !ok || strings.TrimSpace(text) == "" {
		return ok
	}
	if _, problems := strict.Decode("", []byte(text), dst); len(problems) > 0 {
		writeError(resp, http.StatusUnprocessableEntity, adminapi.Error{
			Code: string(settings.CodeInvalid), Message: "the body is not valid", Verdict: verdict.NotRun.String(), Problems: problems,
		})
		return false
	}
	return true
}
