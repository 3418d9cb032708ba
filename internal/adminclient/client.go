// Package adminclient is the client of the operators' HTTP API. The commands use only this client.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/operate"
	"github.com/guavastack/guavastack/internal/responsecheck"
	"github.com/guavastack/guavastack/internal/wait"
)

const (
	maxResponseBytes = 64 << 20
	maxAttempts      = 3 // number of times a change is sent
	retryDelay       = 300 * time.Millisecond
)

// Error is an error response.
type Error struct {
	Status int // HTTP status code
	ErrorBody
}

// ErrorBody is the body of an error response.
type ErrorBody = adminapi.Error

// Error returns the message with all problems.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%s)", e.Message, e.Code)
	for _, p := range e.Problems {
		b.WriteString("\n  ")
		if p.Line > 0 {
			fmt.Fprintf(&b, "line %d: ", p.Line)
		}
		b.WriteString(p.String())
	}
	return b.String()
}

// Options are the options of a change.
type Options struct {
	IfMatch  string        // version that was read; "*": any
	ChangeID string        // empty: a new one
	Wait     time.Duration // for the change to be in force everywhere; 0: the server's default
}

// Client sends requests to one control member. Error responses are returned as *Error. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the API at base, such as "http://127.0.0.1:8081". A nil httpClient means one that accepts only well-formed
// responses.
func New(base, token string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{Transport: responsecheck.NewTransport(&http.Transport{})}
	}
	return &Client{base: strings.TrimSuffix(base, "/"), token: token, http: httpClient}
}

// Settings returns the subtree of an organisation. An empty organisation means all that the operator may see.
func (c *Client) Settings(ctx context.Context, organisation string) (adminapi.Settings, error) {
	return get[adminapi.Settings](ctx, c, "/v1/settings", url.Values{"organisation": {organisation}})
}

// PutSettings replaces the whole tree by a document in JSON with comments.
func (c *Client) PutSettings(ctx context.Context, document string, o Options) (adminapi.Change, error) {
	return change[adminapi.Change](ctx, c, http.MethodPut, "/v1/settings", document, o)
}

// CheckSettings validates a document.
func (c *Client) CheckSettings(ctx context.Context, document string) (adminapi.Check, error) {
	var out adminapi.Check
	err := c.call(ctx, request{method: http.MethodPost, path: "/v1/settings/check", body: document}, &out)
	return out, err
}

// Globals returns routes, models, price ceilings and broadcasts.
func (c *Client) Globals(ctx context.Context) (adminapi.Globals, error) {
	return get[adminapi.Globals](ctx, c, "/v1/settings/globals", nil)
}

// PutGlobals replaces routes, models, price ceilings and broadcasts.
func (c *Client) PutGlobals(ctx context.Context, globals string, o Options) (adminapi.Change, error) {
	return change[adminapi.Change](ctx, c, http.MethodPut, "/v1/settings/globals", globals, o)
}

// Rollback returns to an earlier version as a new one.
func (c *Client) Rollback(ctx context.Context, to string, o Options) (adminapi.Change, error) {
	return change[adminapi.Change](ctx, c, http.MethodPost, "/v1/settings/rollback", encode(adminapi.Rollback{To: to}), o)
}

// History returns up to limit changes, newest first.
func (c *Client) History(ctx context.Context, limit int) (adminapi.History, error) {
	return get[adminapi.History](ctx, c, "/v1/settings/history", limitQuery(limit))
}

// Explain returns the origins of the effective values of a class.
func (c *Client) Explain(ctx context.Context, organisation, class string) (adminapi.Explanation, error) {
	return get[adminapi.Explanation](ctx, c, "/v1/settings/explain", url.Values{"organisation": {organisation}, "class": {class}})
}

// Organisations returns the organisations that the operator may see.
func (c *Client) Organisations(ctx context.Context) (adminapi.Organisations, error) {
	return get[adminapi.Organisations](ctx, c, "/v1/organisations", nil)
}

// Organisation returns what an organisation sets itself.
func (c *Client) Organisation(ctx context.Context, path string) (adminapi.Node, error) {
	return get[adminapi.Node](ctx, c, organisationPath(path), nil)
}

// PutOrganisation replaces what an organisation sets, or adds it.
func (c *Client) PutOrganisation(ctx context.Context, path, node string, o Options) (adminapi.Change, error) {
	return change[adminapi.Change](ctx, c, http.MethodPut, organisationPath(path), node, o)
}

// PatchOrganisation merges a patch (RFC 7396) into what an organisation sets.
func (c *Client) PatchOrganisation(ctx context.Context, path, patch string, o Options) (adminapi.Change, error) {
	return change[adminapi.Change](ctx, c, http.MethodPatch, organisationPath(path), patch, o)
}

// RemoveOrganisation removes an organisation and withdraws its keys.
func (c *Client) RemoveOrganisation(ctx context.Context, path string, o Options) (adminapi.Change, error) {
	return change[adminapi.Change](ctx, c, http.MethodDelete, organisationPath(path), "", o)
}

// Keys returns the keys of an organisation.
func (c *Client) Keys(ctx context.Context, organisation string) (adminapi.Keys, error) {
	return get[adminapi.Keys](ctx, c, organisationPath(organisation)+"/keys", nil)
}

// CreateKey creates a key. Only this response contains it.
func (c *Client) CreateKey(ctx context.Context, organisation string, k adminapi.NewKey, o Options) (adminapi.CreatedKey, error) {
	return change[adminapi.CreatedKey](ctx, c, http.MethodPost, organisationPath(organisation)+"/keys", encode(k), o)
}

// RotateKey creates a key that replaces another one, which stays valid for the overlap.
func (c *Client) RotateKey(ctx context.Context, organisation, id string, r adminapi.RotateKey, o Options) (adminapi.CreatedKey, error) {
	return change[adminapi.CreatedKey](ctx, c, http.MethodPost, keyPath(organisation, id)+"/rotate", encode(r), o)
}

// ExpireKey sets the expiry of a key.
func (c *Client) ExpireKey(ctx context.Context, organisation, id string, at time.Time, o Options) (adminapi.Change, error) {
	body := encode(adminapi.ExpireKey{ExpiresMS: at.UnixMilli()})
	return change[adminapi.Change](ctx, c, http.MethodPut, keyPath(organisation, id)+"/expiry", body, o)
}

// WithdrawKey withdraws a key.
func (c *Client) WithdrawKey(ctx context.Context, organisation, id string, o Options) (adminapi.Change, error) {
	return change[adminapi.Change](ctx, c, http.MethodDelete, keyPath(organisation, id), "", o)
}

// Status returns the state of the system, and whether version is in force everywhere. An empty version means the newest.
// If wait is positive, the server waits up to that long for the version to be in force.
func (c *Client) Status(ctx context.Context, version string, wait time.Duration) (adminapi.Status, error) {
	query := url.Values{}
	if version != "" {
		query.Set("version", version)
	}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	return get[adminapi.Status](ctx, c, "/v1/status", query)
}

// Backends returns the registered backend servers.
func (c *Client) Backends(ctx context.Context) (adminapi.Backends, error) {
	return get[adminapi.Backends](ctx, c, "/v1/backends", nil)
}

// Usage returns up to limit billing windows, newest first.
func (c *Client) Usage(ctx context.Context, limit int) ([]operate.WindowUsage, error) {
	return get[[]operate.WindowUsage](ctx, c, "/v1/usage", limitQuery(limit))
}

// Orders returns the orders to the platform and to engines, newest first.
func (c *Client) Orders(ctx context.Context) ([]duty.Order, error) {
	return get[[]duty.Order](ctx, c, "/v1/orders", nil)
}

// Fleet returns the leader, plans, servers and open orders.
func (c *Client) Fleet(ctx context.Context) (operate.FleetStatus, error) {
	return get[operate.FleetStatus](ctx, c, "/v1/fleet", nil)
}

// FleetSettings returns the fleet settings.
func (c *Client) FleetSettings(ctx context.Context) (adminapi.FleetSettings, error) {
	return get[adminapi.FleetSettings](ctx, c, "/v1/fleet/settings", nil)
}

// PutFleetSettings replaces the fleet settings by a document in JSON with comments.
func (c *Client) PutFleetSettings(ctx context.Context, document string, o Options) (adminapi.Change, error) {
	return change[adminapi.Change](ctx, c, http.MethodPut, "/v1/fleet/settings", document, o)
}

// Backup returns a snapshot of the replicated state, for a restore into a new group.
func (c *Client) Backup(ctx context.Context) ([]byte, error) {
	_, data, err := c.send(ctx, request{method: http.MethodGet, path: "/v1/backup"})
	return data, err
}

func organisationPath(path string) string {
	return "/v1/organisations/" + strings.ReplaceAll(path, "/", ".")
}

func keyPath(organisation, id string) string {
	return organisationPath(organisation) + "/keys/" + url.PathEscape(id)
}

func limitQuery(limit int) url.Values {
	if limit <= 0 {
		return nil
	}
	return url.Values{"limit": {strconv.Itoa(limit)}}
}

func encode(v any) string {
	data, _ := json.Marshal(v) // can't fail for these plain structs
	return string(data)
}

// request is one API request.
type request struct {
	method, path string
	query        url.Values
	body         string
	options      *Options // of a change
}

func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var out T
	err := c.call(ctx, request{method: http.MethodGet, path: path, query: query}, &out)
	return out, err
}

// change sends a change. After a lost response or a server error it sends the change again under the same id, at most maxAttempts
// times in total.
func change[T any](ctx context.Context, c *Client, method, path, body string, o Options) (T, error) {
	if o.ChangeID == "" {
		o.ChangeID = uuid.NewString()
	}
	var out T
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && !wait.For(ctx, retryDelay) {
			break
		}
		err = c.call(ctx, request{method: method, path: path, body: body, options: &o}, &out)
		var e *Error
		if err == nil || (errors.As(err, &e) && e.Status < http.StatusInternalServerError) {
			return out, err
		}
	}
	return out, errors.Annotatef(err, "change %s", o.ChangeID)
}

// call sends one request and decodes the JSON response into out.
func (c *Client) call(ctx context.Context, r request, out any) error {
	status, data, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Annotatef(err, "decode response with status %d of %s", status, r.path)
	}
	return nil
}

func (c *Client) send(ctx context.Context, r request) (status int, data []byte, err error) {
	req, err := c.newRequest(ctx, r)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return resp.StatusCode, nil, errors.Annotate(err, "read response")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return resp.StatusCode, nil, parseError(resp.StatusCode, data)
	}
	return resp.StatusCode, data, nil
}

func (c *Client) newRequest(ctx context.Context, r request) (*http.Request, error) {
	query := r.query
	if r.options != nil && r.options.Wait > 0 {
		query = url.Values{"wait": {r.options.Wait.String()}}
	}
	target := c.base + r.path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if r.body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.options != nil {
		req.Header.Set(adminapi.HeaderChangeID, r.options.ChangeID)
		if r.options.IfMatch != "" {
			req.Header.Set(adminapi.HeaderIfMatch, entityTag(r.options.IfMatch))
		}
	}
	return req, nil
}

// entityTag returns the value of If-Match for a version.
func entityTag(version string) string {
	if version == "*" {
		return version
	}
	return `"` + version + `"`
}

func parseError(status int, data []byte) error {
	e := &Error{Status: status}
	if json.Unmarshal(data, &e.ErrorBody) != nil || e.Code == "" {
		e.ErrorBody = ErrorBody{Code: "http_" + strconv.Itoa(status), Message: http.StatusText(status)}
	}
	return e
}

// AddMember adds a member without a vote to the control group. It succeeds only at the leader.
func (c *Client) AddMember(ctx context.Context, m adminapi.Member) error {
	_, err := change[adminapi.Member](ctx, c, http.MethodPost, "/v1/control/members", encode(m), Options{})
	return err
}

// PromoteMember gives a vote to a member that has caught up. It succeeds only at the leader.
func (c *Client) PromoteMember(ctx context.Context, id uint64) error {
	_, err := change[adminapi.Member](ctx, c, http.MethodPost, memberPath(id)+"/promote", "", Options{})
	return err
}

// RemoveMember removes a member from the control group. It succeeds only at the leader, which can't remove itself.
func (c *Client) RemoveMember(ctx context.Context, id uint64) error {
	_, err := change[adminapi.Member](ctx, c, http.MethodDelete, memberPath(id), "", Options{})
	return err
}

// TransferLeadership transfers leadership to another member. It succeeds only at the leader.
func (c *Client) TransferLeadership(ctx context.Context) error {
	_, err := change[adminapi.Member](ctx, c, http.MethodPost, "/v1/control/transfer", "", Options{})
	return err
}

func memberPath(id uint64) string { return "/v1/control/members/" + strconv.FormatUint(id, 10) }
