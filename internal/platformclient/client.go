package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/leasecall"
	"github.com/guavastack/guavastack/internal/responsecheck"
)

// Headers of the platform's HTTP contract. They carry the sender, because the body of a usage report contains only
// figures.
const (
	HeaderHolder  = "X-Guavastack-Holder"
	HeaderFencing = "X-Guavastack-Fencing"
)

// Codes in the error bodies of the contract.
const (
	CodeQuota            = "quota"
	CodeNoSupply         = "no_supply"
	CodeStaleFencing     = "stale_fencing"
	CodeDifferentFigures = "different_figures"
	CodeRateLimit        = "rate_limit"
	CodeInvalid          = "invalid"
	CodeNotFound         = "not_found"
)

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

const (
	// maxReplyBytes bounds the responses that concern one order or report, and error responses.
	maxReplyBytes = 64 << 10
	// maxListBytes bounds the inventory and the reported usage of a window.
	maxListBytes   = 8 << 20
	defaultTimeout = time.Second
	defaultBackoff = time.Second // after a rate limit response without a retry time
)

// Config configures a Client.
type Config struct {
	URL       string            // of the platform, such as http://10.0.0.5:7070
	Token     string            // bearer token; empty: none is sent
	Transport http.RoundTripper // nil: that of NewHTTPClient
}

// Client implements Platform over HTTP.
type Client struct {
	base  string
	token string
	http  *http.Client
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the platform at cfg.URL.
func NewClient(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil || u.Host == "" {
		return nil, errors.NotValidf("platform url %q", cfg.URL)
	}
	client := NewHTTPClient()
	if cfg.Transport != nil {
		client.Transport = cfg.Transport
	}
	return &Client{base: u.Scheme + "://" + u.Host, token: cfg.Token, http: client}, nil
}

// maxResponseHeaderBytes bounds the header of the platform's answers.
const maxResponseHeaderBytes = 64 << 10

// NewHTTPClient returns a client for calls of the leader, which never sends a request twice. Every call uses a new connection,
// because net/http may retry a request when a reused connection is lost, and because a reused connection may be broken without
// having been detected as such. Redirects are not followed, and only well-formed responses are accepted. Nothing of a call is
// sent or delivered after its deadline, see package leasecall.
func NewHTTPClient() *http.Client {
	return &http.Client{
		Transport: responsecheck.NewTransport(&http.Transport{
			DialContext:       leasecall.Dial,
			ForceAttemptHTTP2: false,

			DisableCompression: true,

			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			Protocols:              http1Only(),
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func http1Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// Order implements Platform.
func (c *Client) Order(ctx context.Context, order Order) (Outcome, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return Outcome{}, errors.Trace(err)
	}
	var out Outcome
	err = c.call(ctx, http.MethodPut, "/v1/orders/"+url.PathEscape(order.ID), &order.Sender, body, maxReplyBytes, &out)
	return out, err
}

// Inventory implements Platform.
func (c *Client) Inventory(ctx context.Context) (Inventory, error) {
	var inv Inventory
	err := c.call(ctx, http.MethodGet, "/v1/inventory", nil, nil, maxListBytes, &inv)
	return inv, err
}

// ReportUsage implements Platform.
func (c *Client) ReportUsage(ctx context.Context, r UsageReport) error {
	return c.call(ctx, http.MethodPut, usagePath(r.Window), &r.Sender, r.Body, maxReplyBytes, nil)
}

// ReportedUsage implements Platform.
func (c *Client) ReportedUsage(ctx context.Context, window uint64) ([]byte, error) {
	return c.send(ctx, http.MethodGet, usagePath(window), nil, nil, maxListBytes)
}

// WeightStore implements Platform.
func (c *Client) WeightStore(ctx context.Context) (WeightStore, error) {
	var w WeightStore
	err := c.call(ctx, http.MethodGet, "/v1/weights", nil, nil, maxReplyBytes, &w)
	return w, err
}

func usagePath(window uint64) string {
	return "/v1/usage/" + strconv.FormatUint(window, 10)
}

// call sends one request and decodes the JSON response of up to maxBytes into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, from *Sender, body []byte, maxBytes int64, out any) error {
	data, err := c.send(ctx, method, path, from, body, maxBytes)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return errors.Annotatef(json.Unmarshal(data, out), "decode response to %s %s", method, path)
}

// send sends one request and returns the response body, which must not exceed maxBytes. With a sender, the request carries the headers
// that identify it. A status other than 200 is returned as an error.
func (c *Client) send(ctx context.Context, method, path string, from *Sender, body []byte, maxBytes int64) ([]byte, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.GetBody = nil // prevents net/http from sending the body again
	if from != nil {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set(HeaderHolder, from.Holder)
		req.Header.Set(HeaderFencing, strconv.FormatUint(from.Fencing, 10))
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Annotatef(err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		maxBytes = maxReplyBytes
	}
	data, err := readLimited(resp.Body, maxBytes)
	if err != nil {
		return nil, errors.Annotatef(err, "read response to %s %s", method, path)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, responseError(resp.StatusCode, data)
	}
	return data, nil
}

// readLimited reads all of r, or fails if that exceeds maxBytes.
func readLimited(r io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if int64(len(data)) > maxBytes {
		return nil, errors.Errorf("response exceeds %d bytes", maxBytes)
	}
	return data, nil
}

// withDeadline adds defaultTimeout to a context without a deadline.
func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// responseError returns the error for a response with the given status and body. For a body that is not JSON, such as
// one from an intermediate proxy, or that has an unknown code, it returns a generic error, after which the outcome is
// unknown.
func responseError(status int, data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Errorf("platform responded with status %d", status)
	}
	switch body.Code {
	case CodeQuota:
		return errors.Annotate(ErrQuota, body.Message)
	case CodeNoSupply:
		return errors.Annotate(ErrNoSupply, body.Message)
	case CodeStaleFencing:
		return errors.Annotate(ErrStaleFencing, body.Message)
	case CodeDifferentFigures:
		return errors.Annotate(ErrDifferentFigures, body.Message)
	case CodeInvalid:
		return errors.Annotate(ErrInvalid, body.Message)
	case CodeNotFound:
		return errors.NewNotFound(nil, body.Message)
	case CodeRateLimit:
		return errors.Trace(&RateLimitError{RetryAfter: retryAfter(body.RetryAfterMS)})
	default:
		return errors.Errorf("platform responded with status %d: %s", status, body.Message)
	}
}

func retryAfter(ms int64) time.Duration {
	if ms <= 0 {
		return defaultBackoff
	}
	return time.Duration(ms) * time.Millisecond
}
