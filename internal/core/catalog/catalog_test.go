package catalog_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/state"
)

// validCatalog returns a catalog that passes Validate.
func validCatalog() *catalog.Catalog {
	return &catalog.Catalog{
		Version:     3,
		RequireKeys: true,
		Routes: []catalog.Route{
			{Name: "chat", Host: "a.example", PathPrefix: "/chat/", Timeout: time.Second, Targets: []catalog.Target{{Service: "llm", Weight: 1}}},
			{Name: "chat-long", Host: "a.example", PathPrefix: "/chat/long/", Timeout: time.Second, Targets: []catalog.Target{{Service: "llm", Weight: 1}}},
			{Name: "all", Host: "b.example", PathPrefix: "/", Timeout: time.Second, Targets: []catalog.Target{{Service: "llm", Weight: 9}, {Service: "app", Weight: 1}}},
		},
		Services:      []catalog.Service{{Name: "llm"}, {Name: "app"}},
		Organisations: []catalog.Organisation{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
	}
}

func TestValidate(t *testing.T) {
	cases := []struct {
		name   string
		change func(*catalog.Catalog)
		want   string // part of the error; empty: none
	}{
		{"valid", func(*catalog.Catalog) {}, ""},
		{"unknown service", func(c *catalog.Catalog) { c.Routes[0].Targets[0].Service = "gone" }, `service "gone"`},
		{"duplicate host and prefix", func(c *catalog.Catalog) { c.Routes[1].PathPrefix = "/chat/" }, "same host and path prefix"},
		{"no weight", func(c *catalog.Catalog) { c.Routes[2].Targets[0].Weight, c.Routes[2].Targets[1].Weight = 0, 0 }, "weights 0"},
		{"negative weight", func(c *catalog.Catalog) { c.Routes[2].Targets[0].Weight = -1 }, "weight -1"},
		{"no target", func(c *catalog.Catalog) { c.Routes[0].Targets = nil }, "weights 0"},
		{"no timeout", func(c *catalog.Catalog) { c.Routes[0].Timeout = 0 }, "timeout 0s"},
		{"prefix without a slash", func(c *catalog.Catalog) { c.Routes[0].PathPrefix = "/chat" }, `path prefix "/chat"`},
		{"empty prefix", func(c *catalog.Catalog) { c.Routes[0].PathPrefix = "" }, `path prefix ""`},
		{"shared key", func(c *catalog.Catalog) { c.Organisations[1].Keys = []string{"k1"} }, "same key"},
		{"a key twice at one organisation", func(c *catalog.Catalog) { c.Organisations[0].Keys = []string{"k1", "k1"} }, ""},
		{"service without a name", func(c *catalog.Catalog) { c.Services[0].Name = "" }, "service without a name"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := validCatalog()
			tc.change(c)
			err := c.Validate()
			if tc.want == "" {
				if err != nil {
					t.Errorf("error %v, want none", err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v, want one with %s", err, tc.want)
			}
		})
	}
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	x := catalog.NewIndex(validCatalog())
	cases := []struct{ host, path, want string }{
		{"a.example", "/chat/x", "chat"},
		{"a.example", "/chat/", "chat"},
		{"a.example", "/chat/long/x/y", "chat-long"},
		{"a.example", "/chat/longer/x", "chat"},
		{"a.example", "/chat", ""},
		{"a.example", "/", ""},
		{"a.example", "", ""},
		{"a.example", "*", ""},
		{"A.Example:8080", "/chat/x", "chat"},
		{"b.example", "/anything", "all"},
		{"c.example", "/chat/x", ""},
		{"a.example", "//chat/x", ""},
		{"a.example", "/%63hat/x", ""},
	}
	for _, tc := range cases {
		got := ""
		if r := x.Match(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s: got route %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

func TestOrganisationIsFoundByKey(t *testing.T) {
	x := catalog.NewIndex(validCatalog())
	for key, want := range map[string]string{"k1": "one", "k2": "one", "k3": "two", "k4": "", "": ""} {
		got := ""
		if o := x.Organisation(catalog.HashKey(key)); o != nil {
			got = o.Name
		}
		if got != want {
			t.Errorf("key %q: organisation %q, want %q", key, got, want)
		}
	}
}

func TestTargetFollowsTheWeights(t *testing.T) {
	r := validCatalog().Routes[2]
	counts := make(map[string]int)
	for draw := range uint64(1000) {
		counts[r.Target(draw)]++
	}
	if counts["llm"] != 900 || counts["app"] != 100 {
		t.Errorf("got %v, want 900 of llm and 100 of app", counts)
	}
}

func TestIsIdempotent(t *testing.T) {
	cases := []struct {
		route catalog.Route
		want  bool
	}{
		{catalog.Route{Kind: catalog.Safe}, true},
		{catalog.Route{Kind: catalog.Unsafe}, false},
		{catalog.Route{Kind: catalog.Unsafe, Resumable: true}, false},
		{catalog.Route{Kind: catalog.Streaming}, false},
		{catalog.Route{Kind: catalog.Streaming, Resumable: true}, true},
	}
	for _, tc := range cases {
		if got := tc.route.IsIdempotent(); got != tc.want {
			t.Errorf("%v, resumable %v: idempotent %v, want %v", tc.route.Kind, tc.route.Resumable, got, tc.want)
		}
	}
}

// replace applies one command and returns its outcome.
func replace(t *testing.T, m *catalog.Module, version uint64, document string) catalog.Outcome {
	t.Helper()
	data, err := catalog.Compress([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(catalog.Command{Version: version, Document: data})
	if err != nil {
		t.Fatal(err)
	}
	result, err := m.Apply(1, state.Command{Module: catalog.ModuleName, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	var out catalog.Outcome
	if err := json.Unmarshal(result, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestTheHighestVersionIsInForce(t *testing.T) {
	m := catalog.NewModule()
	steps := []struct {
		name     string
		version  uint64
		document string
		want     catalog.Outcome
		inForce  string
	}{
		{"first", 5, "five", catalog.Outcome{Held: 5, Replaced: true}, "five"},
		{"the same version and content again", 5, "five", catalog.Outcome{Held: 5}, "five"},
		{"the same version with other content", 5, "other", catalog.Outcome{Held: 5}, "five"},
		{"older", 4, "four", catalog.Outcome{Held: 5}, "five"},
		{"newer, with a gap", 9, "nine", catalog.Outcome{Held: 9, Replaced: true}, "nine"},
	}
	for _, step := range steps {
		if got := replace(t, m, step.version, step.document); got != step.want {
			t.Errorf("%s: got %+v, want %+v", step.name, got, step.want)
		}
		document, err := catalog.Decompress(m.Document())
		if err != nil || string(document) != step.inForce {
			t.Errorf("%s: in force %q, %v, want %q", step.name, document, err, step.inForce)
		}
	}
}

func TestDocumentSurvivesASnapshotByteForByte(t *testing.T) {
	const document = "{\"a\":  \"<&>\u2028\",\n\t\"version\":7 }"
	m := catalog.NewModule()
	replace(t, m, 7, document)
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := catalog.NewModule()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	got, err := catalog.Decompress(restored.Document())
	if err != nil || string(got) != document || restored.Version() != 7 {
		t.Errorf("version %d, %q, %v; want version 7, %q", restored.Version(), got, err, document)
	}
}

func TestDecompressRefusesOversizedAndInvalidData(t *testing.T) {
	data, err := catalog.Compress(make([]byte, catalog.MaxDocumentBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := catalog.Decompress(data); err == nil {
		t.Error("a document above the limit was read")
	}
	if _, err := catalog.Decompress([]byte("no document")); err == nil {
		t.Error("bytes that are not a compressed document were read")
	}
}
