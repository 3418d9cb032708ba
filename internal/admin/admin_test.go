package admin_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/admin"
	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/adminclient"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/control/controltest"
	"github.com/guavastack/guavastack/internal/core/settings"
)

// group is a control group with the operators' API at each member.
type group struct {
	cluster  *controltest.Cluster
	services []*control.Service
	urls     []string
	audit    *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

var tokens = []admin.Token{
	{Name: "root", SHA256: hashOf("root-token"), Role: admin.Administer},
	{Name: "reader", SHA256: hashOf("reader-token"), Role: admin.Read},
	{Name: "ana", SHA256: hashOf("ana-token"), Role: admin.Administer, Organisation: "camurca"},
	{Name: "keys", SHA256: hashOf("keys-token"), Role: admin.Operate, Organisation: "camurca"},
}

// toleranceOfTests is what every member of a group of tests says about its tolerance of losses.
var toleranceOfTests = adminapi.Group{
	Voters: 3, Reachable: 2, Unreachable: []string{"10.0.0.3:1"}, Quorum: 2, FaultTolerance: 1, BelowMS: 2500, WaitsFor: "a successor",
}

// newGroup starts n members with their APIs on loopback TCP listeners.
func newGroup(t *testing.T, n int) *group {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	g := &group{cluster: controltest.New(n), audit: &lockedBuffer{}}
	listeners := make(map[string]net.Listener)
	for _, m := range g.cluster.Members {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[m.Self().Address] = lis
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", listeners[address].Addr().String())
	}
	for _, m := range g.cluster.Members {
		s := control.New(control.Config{Group: m, Settings: m.Settings, ZoneDrains: m.Drains, Dial: dial})
		g.services = append(g.services, s)
		running.Add(2)
		go func() { defer running.Done(); _ = s.Run(ctx) }()
		go func() { defer running.Done(); _ = s.Serve(ctx, listeners[m.Self().Address]) }()
		api, err := admin.New(admin.Config{
			Control: s, Tokens: tokens, Logger: slog.New(slog.NewJSONHandler(g.audit, nil)),
			Group: func() adminapi.Group { return toleranceOfTests },
		})
		if err != nil {
			t.Fatal(err)
		}
		server := httptest.NewServer(api.Handler())
		t.Cleanup(server.Close)
		g.urls = append(g.urls, server.URL)
	}
	return g
}

func (g *group) client(member int, token string) *adminclient.Client {
	return adminclient.New(g.urls[member], token, nil)
}

// status returns the HTTP status of a client error, 200 for nil and 0 for an error without a status.
func status(err error) int {
	var e *adminclient.Error
	if errors.As(err, &e) {
		return e.Status
	}
	if err != nil {
		return 0
	}
	return http.StatusOK
}

const testDocument = `{
	// Two organisations, one with a child.
	"classes": {"chat": {"tier": 1}},
	"organisations": {"camurca": {"organisations": {"porto": {}}}, "fjordslag": {}},
}`

func (g *group) putTestDocument(t *testing.T) string {
	t.Helper()
	change, err := g.client(0, "root-token").PutSettings(t.Context(), testDocument, adminclient.Options{IfMatch: "*"})
	if err != nil {
		t.Fatal(err)
	}
	return change.Version
}

func TestOneOfConcurrentChangesIsAccepted(t *testing.T) {
	g := newGroup(t, 3)
	version := g.putTestDocument(t)
	var mu sync.Mutex
	outcomes := make(map[int]int)
	var current []string
	var operators sync.WaitGroup
	for i := range 6 {
		operators.Add(1)
		go func() {
			defer operators.Done()
			_, err := g.client(i%3, "root-token").PutOrganisation(t.Context(), "camurca/porto", `{"defaults": {"weight": 2}}`, adminclient.Options{IfMatch: version})
			mu.Lock()
			defer mu.Unlock()
			outcomes[status(err)]++
			var e *adminclient.Error
			if errors.As(err, &e) {
				current = append(current, e.Version)
			}
		}()
	}
	operators.Wait()
	if outcomes[http.StatusOK] != 1 || outcomes[http.StatusConflict] != 5 {
		t.Errorf("outcomes by status: %v, want one 200 and five 409", outcomes)
	}
	for _, v := range current {
		if v != "0.2" {
			t.Errorf("conflict has current version %q, want 0.2", v)
		}
	}
}

func TestResentChangeIsAppliedOnce(t *testing.T) {
	g := newGroup(t, 3)
	version := g.putTestDocument(t)
	g.cluster.DropReplies(0, true)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	o := adminclient.Options{IfMatch: version, ChangeID: "change-1"}
	if _, err := g.client(1, "root-token").PutOrganisation(ctx, "camurca/porto", `{"defaults": {"weight": 2}}`, o); err == nil {
		t.Fatal("got a response although the reply was dropped")
	}
	g.cluster.DropReplies(0, false)
	change, err := g.client(2, "root-token").PutOrganisation(t.Context(), "camurca/porto", `{"defaults": {"weight": 2}}`, o)
	if err != nil || change.Version != "0.2" {
		t.Fatalf("resend: got %+v, error %v, want version 0.2", change, err)
	}
	history, err := g.client(0, "root-token").History(t.Context(), 10)
	if err != nil || len(history.Changes) != 2 {
		t.Errorf("got history %+v, error %v, want 2 changes: the resent change applied once", history, err)
	}
	if c := history.Changes[0]; c.Operator != "root" || c.ChangeID != "change-1" || c.AtMS == 0 {
		t.Errorf("history entry %+v, want operator root, change id change-1 and a time", c)
	}
}

func TestRolesLimitOperators(t *testing.T) {
	g := newGroup(t, 1)
	g.putTestDocument(t)
	anyVersion := adminclient.Options{IfMatch: "*"}
	tests := []struct {
		name, token string
		call        func(c *adminclient.Client) error
		want        int
	}{
		{"no token", "", func(c *adminclient.Client) error { _, err := c.Organisations(t.Context()); return err }, 401},
		{"unknown token", "guess", func(c *adminclient.Client) error { _, err := c.Organisations(t.Context()); return err }, 401},
		{"reader reads", "reader-token", func(c *adminclient.Client) error { _, err := c.Status(t.Context(), "", 0); return err }, 200},
		{"reader can't create a key", "reader-token", func(c *adminclient.Client) error {
			_, err := c.CreateKey(t.Context(), "camurca", adminapi.NewKey{}, anyVersion)
			return err
		}, 403},
		{"reader can't change settings", "reader-token", func(c *adminclient.Client) error {
			_, err := c.PutOrganisation(t.Context(), "x", `{}`, anyVersion)
			return err
		}, 403},
		{"restricted operator creates a key", "keys-token", func(c *adminclient.Client) error {
			_, err := c.CreateKey(t.Context(), "camurca/porto", adminapi.NewKey{}, anyVersion)
			return err
		}, 200},
		{"restricted operator can't create a key of another organisation", "keys-token", func(c *adminclient.Client) error {
			_, err := c.CreateKey(t.Context(), "fjordslag", adminapi.NewKey{}, anyVersion)
			return err
		}, 403},
		{"role operate can't change settings", "keys-token", func(c *adminclient.Client) error {
			_, err := c.PutOrganisation(t.Context(), "camurca/porto", `{}`, anyVersion)
			return err
		}, 403},
		{"restricted administrator changes an organisation below", "ana-token", func(c *adminclient.Client) error {
			_, err := c.PatchOrganisation(t.Context(), "camurca/porto", `{"defaults": {"weight": 2}}`, anyVersion)
			return err
		}, 200},
		{"restricted administrator can't change its own organisation", "ana-token", func(c *adminclient.Client) error {
			_, err := c.PutOrganisation(t.Context(), "camurca", `{}`, anyVersion)
			return err
		}, 403},
		{"restricted administrator can't change the root", "ana-token", func(c *adminclient.Client) error {
			_, err := c.PutSettings(t.Context(), testDocument, anyVersion)
			return err
		}, 403},
		{"restricted administrator can't roll back", "ana-token", func(c *adminclient.Client) error {
			_, err := c.Rollback(t.Context(), "0.1", anyVersion)
			return err
		}, 403},
		{"restricted administrator can't read other organisations", "ana-token", func(c *adminclient.Client) error { _, err := c.Settings(t.Context(), "fjordslag"); return err }, 403},
		{"an organisation whose name begins with the operator's is outside", "ana-token", func(c *adminclient.Client) error { _, err := c.Keys(t.Context(), "camurcax"); return err }, 403},
		{"change without a version", "root-token", func(c *adminclient.Client) error {
			_, err := c.PutOrganisation(t.Context(), "x", `{}`, adminclient.Options{})
			return err
		}, 428},
		{"invalid", "root-token", func(c *adminclient.Client) error {
			_, err := c.PutOrganisation(t.Context(), "x", `{"defaults": {"teir": 1}}`, anyVersion)
			return err
		}, 422},
		{"not found", "root-token", func(c *adminclient.Client) error {
			_, err := c.RemoveOrganisation(t.Context(), "nobody", anyVersion)
			return err
		}, 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := status(tt.call(g.client(0, tt.token))); got != tt.want {
				t.Errorf("status %d, want %d", got, tt.want)
			}
		})
	}
	mine, err := g.client(0, "ana-token").Organisations(t.Context())
	if err != nil || len(mine.Organisations) != 2 {
		t.Errorf("list for a restricted operator: got %+v, error %v, want 2 organisations", mine, err)
	}
}

func TestKeyIsShownOnce(t *testing.T) {
	g := newGroup(t, 1)
	g.putTestDocument(t)
	c := g.client(0, "root-token")
	o := adminclient.Options{ChangeID: "make"}
	created, err := c.CreateKey(t.Context(), "camurca/porto", adminapi.NewKey{}, o)
	if err != nil || !strings.HasPrefix(created.Secret, settings.KeyPrefix) || len(created.Secret) != settings.KeyLength {
		t.Fatalf("%+v, %v", created, err)
	}
	_, err = c.CreateKey(t.Context(), "camurca/porto", adminapi.NewKey{}, o)
	if status(err) != http.StatusConflict || !strings.Contains(err.Error(), created.ID) {
		t.Errorf("resend: got error %v, want status 409 with the key's id", err)
	}
	tree := g.cluster.Members[0].Settings.Tree()
	if k, ok := tree.KeyByHash(sha256.Sum256([]byte(created.Secret))); !ok || !k.IsUsable(time.Now()) || k.Organisation != "camurca/porto" {
		t.Errorf("created key is missing or unusable: %+v", k)
	}
	snapshot, err := g.cluster.Members[0].Settings.Snapshot()
	if err != nil || bytes.Contains(snapshot, []byte(created.Secret)) || strings.Contains(g.audit.text(), created.Secret) {
		t.Error("the key was stored or logged")
	}
	rotated, err := c.RotateKey(t.Context(), "camurca/porto", created.ID, adminapi.RotateKey{}, adminclient.Options{})
	if err != nil || rotated.Secret == created.Secret {
		t.Fatalf("%+v, %v", rotated, err)
	}
	if _, err := c.WithdrawKey(t.Context(), "camurca/porto", rotated.ID, adminclient.Options{}); err != nil {
		t.Fatal(err)
	}
	keys, err := c.Keys(t.Context(), "camurca/porto")
	if err != nil || len(keys.Keys) != 2 || keys.Keys[0].ExpiresMS == 0 || !keys.Keys[1].Withdrawn {
		t.Errorf("got keys %+v, error %v, want the rotated one with an expiry and the new one withdrawn", keys, err)
	}
	if !strings.Contains(g.audit.text(), `"op":"withdraw_key"`) {
		t.Error("no audit record of the withdrawal")
	}
}

func TestChangeWithoutLeaderIsNotApplied(t *testing.T) {
	g := newGroup(t, 3)
	version := g.putTestDocument(t)
	g.cluster.SetLeader(-1)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, _ = g.client(0, "root-token").PutOrganisation(ctx, "camurca/porto", `{"defaults": {"weight": 2}}`, adminclient.Options{IfMatch: version})
	read, err := g.client(0, "root-token").Settings(t.Context(), "")
	if err != nil || read.Confirmed || read.Version != version {
		t.Errorf("got settings %+v, error %v, want them unconfirmed and at the version before the change", read, err)
	}
}

func TestOpenAPIDescribesEveryRoute(t *testing.T) {
	g := newGroup(t, 1)
	resp, err := http.Get(g.urls[0] + "/openapi.json")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	doc, err := openapi3.NewLoader().LoadFromIoReader(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(t.Context()); err != nil {
		t.Fatal(err)
	}
	for path, item := range doc.Paths.Map() {
		for method, op := range item.Operations() {
			if op.OperationID == "" || op.Summary == "" || op.Responses.Len() < 2 {
				t.Errorf("%s %s: %+v", method, path, op)
			}
		}
	}
	for _, path := range []string{"/v1/settings", "/v1/settings/explain", "/v1/organisations/{organisation}/keys/{key}/rotate", "/v1/status"} {
		if doc.Paths.Find(path) == nil {
			t.Errorf("path %s is missing", path)
		}
	}
}

func TestNoListenerBeyondLoopbackWithoutTLS(t *testing.T) {
	s, err := admin.New(admin.Config{Tokens: tokens})
	if err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	if err := s.Serve(t.Context(), lis); err == nil {
		t.Error("served beyond loopback without TLS")
	}
}

func TestEscapedSlashesInPaths(t *testing.T) {
	g := newGroup(t, 1)
	g.putTestDocument(t)
	req, err := http.NewRequest(http.MethodGet, g.urls[0]+"/v1/organisations/camurca%2Fporto", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer root-token")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK || resp.Header.Get("ETag") != `"0.1"` {
		t.Errorf("got status %d, version %s, want 200 and \"0.1\"", resp.StatusCode, resp.Header.Get("ETag"))
	}
}

// TestStatusTellsTolerance checks that the status has the tolerance of losses, in JSON with the documented names.
func TestStatusTellsTolerance(t *testing.T) {
	g := newGroup(t, 1)
	st, err := g.client(0, "root-token").Status(t.Context(), "", 0)
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(st.Group)
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"voters":3,"reachable":2,"unreachable":["10.0.0.3:1"],"quorum":2,"losses_tolerated":0,"fault_tolerance":1,"below_ms":2500,"waits_for":"a successor"}`
	if string(got) != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
