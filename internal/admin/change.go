package admin

import (
	"context"
	"encoding/json"
	"io"
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
	"github.com/guavastack/guavastack/proto/controlpb"
)

// maxChangeIDLength bounds what an operator gives as a change id.
const maxChangeIDLength = 128

// change is one change on its way.
type change struct {
	id      string // as the operator knows it
	command settings.Command
}

// newChange reads the headers of a change. needsVersion refuses one without If-Match.
func newChange(req *restful.Request, resp *restful.Response, command settings.Command, needsVersion bool) (change, bool) {
	id, match, ok := changeHeaders(req, resp, needsVersion)
	if !ok {
		return change{}, false
	}
	if match != "" && match != anyVersion {
		if _, err := settings.ParseVersion(match); err != nil {
			fail(resp, http.StatusBadRequest, adminapi.CodeBadRequest, "If-Match: %v", err)
			return change{}, false
		}
		command.IfMatch = match
	}
	command.ChangeID = operatorOf(req).Name + "/" + id
	return change{id: id, command: command}, true
}

// changeHeaders returns the id of a change and the version that it was made from.
func changeHeaders(req *restful.Request, resp *restful.Response, needsVersion bool) (id, match string, ok bool) {
	id = req.HeaderParameter(adminapi.HeaderChangeID)
	if len(id) > maxChangeIDLength {
		fail(resp, http.StatusBadRequest, adminapi.CodeBadRequest, "%s of %d bytes; expected at most %d", adminapi.HeaderChangeID, len(id), maxChangeIDLength)
		return "", "", false
	}
	if id == "" {
		id = uuid.NewString()
	}
	match = strings.Trim(strings.TrimPrefix(req.HeaderParameter(adminapi.HeaderIfMatch), "W/"), `"`)
	if match == "" && needsVersion {
		fail(resp, http.StatusPreconditionRequired, adminapi.CodeNeedsVersion, "expected the header If-Match with the version that was read, or * for any")
		return "", "", false
	}
	return id, match, true
}

// commit brings a change into the log and writes the answer if it wasn't accepted. A lost answer is made up for by
// sending the change again, which its id makes harmless.
func (s *Server) commit(req *restful.Request, resp *restful.Response, c change) (settings.Outcome, bool) {
	resp.Header().Set(adminapi.HeaderChangeID, c.id)
	ctx, cancel := context.WithTimeout(req.Request.Context(), changeTimeout)
	defer cancel()
	outcome, err := s.propose(ctx, c.command, operatorOf(req).Name)
	s.record(req, c, outcome, err)
	if err != nil {
		s.failed(resp, err)
		return outcome, false
	}
	if !outcome.Accepted {
		refused(resp, outcome)
		return outcome, false
	}
	return outcome, true
}

// record writes the audit record of a change that was tried. The accepted ones also stand in the history.
func (s *Server) record(req *restful.Request, c change, o settings.Outcome, err error) {
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

func (s *Server) failed(resp *restful.Response, err error) {
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

// propose sends a command until it has an outcome or ctx ends.
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

// proposeData sends an encoded command until outcome has its outcome or ctx ends.
func (s *Server) proposeData(ctx context.Context, data []byte, outcome any) error {
	mayHave := false
	for {
		unknown, err := s.proposeOnce(ctx, data, outcome)
		if err == nil {
			return nil
		}
		mayHave = mayHave || unknown
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return changeError(err, mayHave)
		}
	}
}

// changeError returns the error of a change that has no outcome.
func changeError(cause error, mayHave bool) error {
	v := verdict.NotRun
	if mayHave {
		v = verdict.MayHaveRun
	}
	return &verdict.Error{Verdict: v, Code: "no_outcome", Message: "the control group gave no outcome", Cause: cause}
}

// proposeOnce sends a command once. unknown is true with an error that leaves the outcome open.
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

// accepted writes the answer to an accepted change once it is in force everywhere, or says who is behind.
func (s *Server) accepted(req *restful.Request, resp *restful.Response, c change, o settings.Outcome) {
	answer(resp, http.StatusOK, o.Version, s.report(req, c, o))
}

func (s *Server) report(req *restful.Request, c change, o settings.Outcome) adminapi.Change {
	ctx, cancel := context.WithTimeout(req.Request.Context(), waitOf(req))
	defer cancel()
	behind := s.cfg.Control.WaitInForce(ctx, o.Version)
	return adminapi.Change{Version: o.Version.String(), ChangeID: c.id, InForce: len(behind) == 0, Behind: processIDs(behind)}
}

// waitOf returns how long the operator waits for a change to be in force everywhere.
func waitOf(req *restful.Request) time.Duration {
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

// readText returns the body of a request.
func readText(req *restful.Request, resp *restful.Response) (string, bool) {
	data, err := io.ReadAll(req.Request.Body)
	if err != nil {
		var tooLarge *http.MaxBytesError
		status := http.StatusBadRequest
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		fail(resp, status, adminapi.CodeBadRequest, "body: %v", err)
		return "", false
	}
	return string(data), true
}

// readBody fills dst from the body, strictly. An empty body leaves dst as it is.
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
