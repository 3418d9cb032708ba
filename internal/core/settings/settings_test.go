package settings_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/settings"
	"github.com/guavastack/guavastack/internal/core/state"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const document = `{
	// The whole company.
	"defaults": {"deadline": "60s", "weight": 1},
	"classes": {
		"chat": {"tier": 1, "first_token_target": "700ms"},
		"draft": {"tier": 2, "deadline": "5m", "preemptible": true},
	},
	"limits": {"concurrency": 100},
	"organisations": {
		"camurca": {
			"defaults": {"deadline": "30s"},
			"classes": {"draft": {"limits": {"concurrency": 400}}},
			"locked": ["tier"],
			"organisations": {
				"porto": {"defaults": {"weight": 3}, "classes": {"chat": {"deadline": "20s"}}, "limits": {"concurrency": 10}},
				"braga": {},
			},
		},
	},
	"routes": [{"prefix": "/services/orders", "service": "orders", "class": "chat"}, {"prefix": "/services", "service": "all"}],
	"models": ["guava-7b"],
	"price_ceilings": {"porto-a": 4.5},
	"broadcasts": [{"name": "spring", "organisation": "camurca", "class": "chat", "start": "2027-05-01T18:00:00Z", "duration": "20m", "requests_per_second": 50}],
}`

func load(t testing.TB) *settings.Module {
	t.Helper()
	m := settings.NewModule()
	if o := apply(t, m, settings.Command{Op: settings.PutDocument, Document: document}); !o.Accepted {
		t.Fatalf("document refused: %+v", o)
	}
	return m
}

func apply(t testing.TB, m *settings.Module, c settings.Command) settings.Outcome {
	t.Helper()
	return applyAt(t, m, 1000, c)
}

func applyAt(t testing.TB, m *settings.Module, atMS int64, c settings.Command) settings.Outcome {
	t.Helper()
	body, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	result, err := m.Apply(1, state.Command{Module: settings.ModuleName, AtMS: atMS, Actor: "ana", Body: body})
	if err != nil {
		t.Fatal(err)
	}
	var o settings.Outcome
	if err := json.Unmarshal(result, &o); err != nil {
		t.Fatal(err)
	}
	return o
}

func TestInheritance(t *testing.T) {
	tree := load(t).Tree()
	tests := []struct {
		organisation, class string
		deadline            time.Duration
		weight              float64
		tier, concurrency   int
	}{
		{"", "chat", time.Minute, 1, 1, 100},
		{"", "draft", 5 * time.Minute, 1, 2, 100},         // at one node the class wins over the defaults
		{"camurca", "draft", 30 * time.Second, 1, 2, 100}, // a deeper default wins over a class above; the root caps
		{"camurca/braga", "chat", 30 * time.Second, 1, 1, 100},
		{"camurca/porto", "chat", 20 * time.Second, 3, 1, 10},
		{"camurca/porto", "draft", 30 * time.Second, 3, 2, 10},
	}
	for _, tt := range tests {
		t.Run(tt.organisation+" "+tt.class, func(t *testing.T) {
			c, err := tree.Class(tt.organisation, tt.class)
			if err != nil {
				t.Fatal(err)
			}
			if c.Deadline != tt.deadline || c.Weight != tt.weight || c.Tier != tt.tier || c.Limits.Concurrency != tt.concurrency {
				t.Errorf("got %+v, want the deadline, weight, tier and concurrency of the case", c)
			}
			if c.Organisation != tt.organisation || c.Name != tt.class {
				t.Errorf("got organisation %q, class %q", c.Organisation, c.Name)
			}
		})
	}
	if got := tree.Classes("camurca/porto"); !reflect.DeepEqual(got, []string{"chat", "draft"}) {
		t.Errorf("got classes %v, want chat and draft", got)
	}
	if _, err := tree.Class("camurca/faro", "chat"); err == nil {
		t.Error("found an organisation that doesn't exist")
	}
	if caps := tree.Caps("camurca/porto"); len(caps) != 2 || caps[0].Node != "" || caps[1].Limits.Concurrency != 10 {
		t.Errorf("got caps %+v, want those of the root and of camurca/porto", caps)
	}
}

func TestExplainNamesTheNode(t *testing.T) {
	tree := load(t).Tree()
	want := map[string][2]string{
		"tier": {"", "class"}, "deadline": {"camurca/porto", "class"}, "weight": {"camurca/porto", "defaults"},
		"first_token_target": {"", "class"}, "attempts": {"", "built_in"}, "limits.concurrency": {"camurca/porto", "limits"},
	}
	for _, o := range tree.Explain("camurca/porto", "chat") {
		if w, ok := want[o.Field]; ok && (o.Node != w[0] || o.From != w[1]) {
			t.Errorf("%s: from %q %s, want %q %s", o.Field, o.Node, o.From, w[0], w[1])
		}
	}
}

func TestRouteHasLongestMatchingPrefix(t *testing.T) {
	tree := load(t).Tree()
	for path, service := range map[string]string{
		"/services/orders": "orders", "/services/orders/7": "orders", "/services/ordersx": "all", "/other": "",
	} {
		r, ok := tree.Route(path)
		if r.Service != service || ok != (service != "") {
			t.Errorf("%s: got service %q, found %v", path, r.Service, ok)
		}
	}
}

func TestParseReportsAllMistakesWithLineAndPath(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown field", "{\n\"defaults\": {\"teir\": 1}}", `f:2: defaults.teir: unknown field; expected one of`},
		{"duplicate", "{\"models\": [],\n\"models\": []}", `f:2: models: duplicate field`},
		{"no unit", "{\"defaults\":\n{\"deadline\": 30}}", `f:2: defaults.deadline: expected a duration with a unit`},
		{"wrong unit", `{"defaults": {"deadline": "30 s"}}`, `f:1: defaults.deadline: "30 s" is not a duration`},
		{"range", `{"classes": {"chat": {"tier": 99}}}`, `classes.chat.tier: 99 is out of range; expected 0 to 15`},
		{"no tier", "{\"classes\":\n{\"chat\": {}}}", `f:2: classes.chat: class without a tier`},
		{"locked", `{"locked": ["tier"], "classes": {"c": {"tier": 1}}, "organisations": {"a": {"classes": {"c": {"tier": 0}}}}}`, `organisations.a.classes.c.tier: locked by the root`},
		{"locked limits", `{"locked": ["limits"], "organisations": {"a": {"limits": {"concurrency": 1}}}}`, `organisations.a.limits: locked by the root`},
		{"contradiction", `{"classes": {"c": {"tier": 1, "deadline": "1s", "first_token_target": "2s"}}}`, `first_token_target 2s is longer than the deadline 1s`},
		{"not an object", `{"classes": []}`, `classes: expected an object, found a list`},
		{"fraction", `{"classes": {"c": {"tier": 1.5}}}`, `classes.c.tier: expected a whole number, found 1.5`},
		{"syntax", "{\n\"models\": [}", `f:2: `},
		{"name", `{"organisations": {"A b": {}}}`, `organisation name "A b"`},
		{"lock name", `{"locked": ["speed"]}`, `locked[0]: "speed" can't be locked`},
		{"route", `{"routes": [{"prefix": "/v1/x", "service": "s"}]}`, `routes[0].prefix: "/v1/x"; expected a path`},
		{"open route", `{"routes": [{"prefix": "/x", "service": "s", "open": true, "class": "c"}]}`, `names class "c", which the root doesn't have`},
		{"broadcast", `{"broadcasts": [{"name": "b", "start": "soon"}]}`, `broadcasts[0].start: "soon"; expected a time`},
		{"price", `{"price_ceilings": {"a": -1}}`, `price_ceilings.a: -1 is negative`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, problems := settings.Parse("f", []byte(tt.text))
			if !strings.Contains(problems.Error(), tt.want) {
				t.Errorf("got %v\nwant %s", problems, tt.want)
			}
		})
	}
	_, problems := settings.Parse("f", []byte("{\"x\": 1,\n\"defaults\": {\"tier\": \"a\", \"deadline\": 5},\n\"y\": 2}"))
	if len(problems) != 4 {
		t.Errorf("%d problems, want all 4:\n%v", len(problems), problems)
	}
}

func TestSecondChangeOfOneVersionConflicts(t *testing.T) {
	m := load(t)
	version := m.Tree().Version().String()
	put := func(id, node string) settings.Outcome {
		return apply(t, m, settings.Command{Op: settings.PutNode, Path: "camurca/braga", ChangeID: id, IfMatch: version, Node: node})
	}
	first := put("a", `{"defaults": {"weight": 2}}`)
	second := put("b", `{"defaults": {"weight": 5}}`)
	if !first.Accepted || second.Accepted || second.Code != settings.CodeConflict || second.Version != first.Version {
		t.Errorf("got %+v and %+v, want the first change accepted and the second one refused as a conflict", first, second)
	}
	if again := put("a", `{"defaults": {"weight": 2}}`); !reflect.DeepEqual(again, first) {
		t.Errorf("got %+v for a resend, want the first outcome %+v", again, first)
	}
	if reused := put("a", `{"defaults": {"weight": 9}}`); reused.Code != settings.CodeReused {
		t.Errorf("got %+v for another change under the same id, want code change_id_reused", reused)
	}
	if again := put("b", `{"defaults": {"weight": 5}}`); !reflect.DeepEqual(again, second) {
		t.Errorf("got %+v for a resend of the refused change, want its first outcome %+v", again, second)
	}
	if got := m.Tree().Version(); got != first.Version {
		t.Errorf("refusals moved the version to %v", got)
	}
}

func TestRefusedCommandsDoNotChangeTheTree(t *testing.T) {
	m := load(t)
	before := m.Tree()
	for _, c := range []settings.Command{
		{Op: settings.PutNode, Path: "nowhere/at/all", Node: `{}`},
		{Op: settings.PutNode, Path: "camurca/porto", Node: `{"classes": {"chat": {"tier": 0}}}`},
		{Op: settings.PutNode, Path: "x", Node: `{"classes": {"new": {}}}`},
		{Op: settings.PutNode, Path: "", Node: `{}`}, // would leave the classes below without a tier
		{Op: settings.PatchNode, Path: "faro", Node: `{}`},
		{Op: settings.RemoveNode, Path: "camurca"},
		{Op: settings.RemoveNode, Path: ""},
		{Op: settings.CreateKey, Path: "faro", KeyID: "k", KeyHash: hash(1)},
		{Op: settings.CreateKey, Path: "camurca", KeyID: "k", KeyHash: "00"},
		{Op: settings.WithdrawKey, KeyID: "none"},
		{Op: settings.Rollback, To: "0.99"},
		{Op: "unknown"},
	} {
		o := apply(t, m, c)
		if o.Accepted || o.Version != before.Version() || o.Code == "" {
			t.Errorf("%+v: got %+v, want a refusal with a code and the old version", c, o)
		}
	}
	if m.Tree() != before {
		t.Error("the tree changed")
	}
}

func TestPatchMergesAndNullRemoves(t *testing.T) {
	m := load(t)
	patch := `{"defaults": {"weight": null, "deadline": "25s"}, "limits": null}`
	if o := apply(t, m, settings.Command{Op: settings.PatchNode, Path: "camurca/porto", Node: patch}); !o.Accepted {
		t.Fatalf("refused: %+v", o)
	}
	c, _ := m.Tree().Class("camurca/porto", "draft")
	if c.Weight != 1 || c.Deadline != 25*time.Second || c.Limits.Concurrency != 100 {
		t.Errorf("got %+v, want weight 1, deadline 25s and concurrency 100", c)
	}
}

func hash(n byte) string { return strings.Repeat(fmt.Sprintf("%02x", n), 32) }

func TestKeyLifecycle(t *testing.T) {
	m := load(t)
	at := time.UnixMilli(10_000)
	usable := func(n byte) bool {
		var h [32]byte
		for i := range h {
			h[i] = n
		}
		k, ok := m.Tree().KeyByHash(h)
		return ok && k.IsUsable(at)
	}
	steps := []struct {
		name string
		c    settings.Command
		want string // numbers of the usable keys
	}{
		{"create", settings.Command{Op: settings.CreateKey, Path: "camurca/porto", KeyID: "k1", KeyHash: hash(1)}, "1"},
		{"rotate with overlap", settings.Command{Op: settings.RotateKey, KeyID: "k1", NewKeyID: "k2", KeyHash: hash(2), ExpiresMS: 10_001}, "12"},
		{"end the overlap", settings.Command{Op: settings.ExpireKey, KeyID: "k1", ExpiresMS: 10_000}, "2"},
		{"create another", settings.Command{Op: settings.CreateKey, Path: "camurca/braga", KeyID: "k3", KeyHash: hash(3)}, "23"},
		{"withdraw", settings.Command{Op: settings.WithdrawKey, KeyID: "k2"}, "3"},
		{"withdraw again", settings.Command{Op: settings.WithdrawKey, KeyID: "k2"}, "3"},
		{"remove the organisation", settings.Command{Op: settings.RemoveNode, Path: "camurca/braga"}, ""},
	}
	for _, s := range steps {
		if o := apply(t, m, s.c); !o.Accepted {
			t.Fatalf("%s: got %+v, want it accepted", s.name, o)
		}
		got := ""
		for n := byte(1); n <= 3; n++ {
			if usable(n) {
				got += fmt.Sprint(n)
			}
		}
		if got != s.want {
			t.Errorf("%s: usable %q, want %q", s.name, got, s.want)
		}
	}
	if o := apply(t, m, settings.Command{Op: settings.CreateKey, Path: "camurca", KeyID: "k9", KeyHash: hash(2)}); o.Code != settings.CodeExists {
		t.Errorf("the hash of a withdrawn key was accepted for a new key: %+v", o)
	}
}

func TestWithdrawnKeysAreBounded(t *testing.T) {
	m := load(t)
	for i := range 3 * settings.MaxWithdrawnKeys {
		id := fmt.Sprint("k", i)
		apply(t, m, settings.Command{Op: settings.CreateKey, Path: "camurca", KeyID: id, KeyHash: fmt.Sprintf("%064x", i+1)})
		apply(t, m, settings.Command{Op: settings.WithdrawKey, KeyID: id})
	}
	if n := len(m.Tree().Keys("camurca")); n != settings.MaxWithdrawnKeys {
		t.Errorf("got %d withdrawn keys, want MaxWithdrawnKeys", n)
	}
}

func TestLongExpiredKeysAreDeleted(t *testing.T) {
	m := load(t)
	apply(t, m, settings.Command{Op: settings.CreateKey, Path: "camurca", KeyID: "old", KeyHash: hash(1), ExpiresMS: 2000})
	week := (7 * 24 * time.Hour).Milliseconds()
	for i, atMS := range []int64{2000 + week, 2001 + week} {
		applyAt(t, m, atMS, settings.Command{Op: settings.CreateKey, Path: "camurca", KeyID: fmt.Sprint("k", i), KeyHash: hash(byte(2 + i))})
		if _, ok := m.Tree().Key("old"); ok != (i == 0) {
			t.Errorf("at %d: got expired key stored: %v, want it stored for a week only", atMS, ok)
		}
	}
}

func TestNumbersOfNodesAndKeysAreBounded(t *testing.T) {
	m := load(t)
	var members []string
	for i := range settings.MaxNodes {
		members = append(members, fmt.Sprintf(`"o%d": {}`, i))
	}
	document := `{"organisations": {` + strings.Join(members, ",") + `}}`
	if o := apply(t, m, settings.Command{Op: settings.PutDocument, Document: document}); o.Code != settings.CodeInvalid {
		t.Errorf("got %+v for too many organisations, want code invalid", o)
	}
	for i := range settings.MaxKeys + 1 {
		o := apply(t, m, settings.Command{Op: settings.CreateKey, Path: "camurca", KeyID: fmt.Sprint(i), KeyHash: fmt.Sprintf("%064x", i+1)})
		if o.Accepted != (i < settings.MaxKeys) {
			t.Fatalf("key %d: got %+v, want it accepted up to MaxKeys only", i, o)
		}
	}
}

// TestDeepNestingIsRefused checks that every command refuses text whose nesting could overflow a replica's stack.
func TestDeepNestingIsRefused(t *testing.T) {
	m := load(t)
	for name, opening := range map[string]string{
		"lists": "", "objects": `{"organisations": `, "after a quote in a comment": `// "` + "\n", "after a block comment": `/* " */`,
	} {
		deep := opening + strings.Repeat("[", 1000)
		for _, c := range []settings.Command{
			{Op: settings.PutDocument, Document: deep},
			{Op: settings.PutNode, Path: "x", Node: deep},
			{Op: settings.PatchNode, Path: "camurca", Node: deep},
			{Op: settings.PutGlobals, Globals: deep},
		} {
			o := apply(t, m, c)
			if o.Code != settings.CodeInvalid || !strings.Contains(o.Problems.Error(), "nested more than 64 deep") {
				t.Errorf("%s, %s: got %+v, want code invalid for the nesting", name, c.Op, o)
			}
		}
	}
	shallow := `{"models": ["` + strings.Repeat("[", 100) + `"], /* ` + strings.Repeat("{", 100) + " */ // " + strings.Repeat("[", 100) + "\n}"
	if _, problems := settings.Parse("f", []byte(shallow)); len(problems) > 0 {
		t.Errorf("brackets in strings and comments count as nesting: %v", problems)
	}
}

func TestRollbackIsANewVersionAndKeepsKeys(t *testing.T) {
	m := load(t)
	good := m.Tree().Version()
	before, _ := json.Marshal(m.Tree().Globals())
	want, _ := m.Tree().Document("")
	for _, c := range []settings.Command{
		{Op: settings.PutNode, Path: "camurca/porto", Node: `{}`},
		{Op: settings.PutNode, Path: "faro", Node: `{}`},
		{Op: settings.CreateKey, Path: "faro", KeyID: "k1", KeyHash: hash(1)},
		{Op: settings.CreateKey, Path: "camurca", KeyID: "k2", KeyHash: hash(2)},
		{Op: settings.WithdrawKey, KeyID: "k2"},
		{Op: settings.PutGlobals, Globals: `{"models": ["other"]}`},
		{Op: settings.RemoveNode, Path: "camurca/braga"},
	} {
		if o := apply(t, m, c); !o.Accepted {
			t.Fatalf("%+v: got %+v, want it accepted", c, o)
		}
	}
	last := m.Tree().Version()
	o := apply(t, m, settings.Command{Op: settings.Rollback, To: good.String()})
	if !o.Accepted || o.Version.Version != last.Version+1 {
		t.Fatalf("got %+v, want it accepted as the next version", o)
	}
	got, _ := m.Tree().Document("")
	after, _ := json.Marshal(m.Tree().Globals())
	if !reflect.DeepEqual(got, want) || string(before) != string(after) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	for _, id := range []string{"k1", "k2"} {
		if k, ok := m.Tree().Key(id); !ok || !k.Withdrawn {
			t.Errorf("key %s: got %+v, want it stored as withdrawn", id, k)
		}
	}
	if h := m.History(2); len(h) != 2 || h[0].Op != settings.Rollback || h[0].Actor != "ana" || h[0].AtMS != 1000 {
		t.Errorf("got history %+v, want two entries, the first one the rollback by ana at 1000 ms", h)
	}
}

// commandGenerator generates commands over few names, so that many of them affect the same nodes and keys.
func commandGenerator() *rapid.Generator[settings.Command] {
	return rapid.Custom(func(t *rapid.T) settings.Command {
		paths := rapid.SampledFrom([]string{"", "a", "a/b", "a/c", "d", "a/b/e"})
		nodes := rapid.SampledFrom([]string{
			`{}`, `{"classes": {"x": {"tier": 1}}}`, `{"classes": {"x": {"weight": 2}}}`, `{"defaults": {"tier": 3, "deadline": "9s"}}`,
			`{"locked": ["weight"]}`, `{"limits": {"concurrency": 5}}`, `{"classes": {"x": {"tier": 2, "limits": {"concurrency": 9}}, "y": {"tier": 0}}}`, `{"bad": 1}`,
		})
		ops := []settings.Op{settings.PutNode, settings.PutNode, settings.PatchNode, settings.RemoveNode, settings.CreateKey, settings.WithdrawKey, settings.RotateKey, settings.Rollback, settings.PutGlobals}
		n := rapid.IntRange(1, 6).Draw(t, "key")
		c := settings.Command{
			Op: rapid.SampledFrom(ops).Draw(t, "op"), ChangeID: rapid.SampledFrom([]string{"", "", "", "c1", "c2"}).Draw(t, "change"),
			Path: paths.Draw(t, "path"), Node: nodes.Draw(t, "node"),
			KeyID: fmt.Sprint("k", n), NewKeyID: fmt.Sprint("k", n+1), KeyHash: hash(byte(n)),
			Globals: rapid.SampledFrom([]string{`{"models": ["m"]}`, `{"routes": [{"prefix": "/s", "service": "s", "open": true, "class": "x"}]}`}).Draw(t, "globals"),
			To:      fmt.Sprintf("0.%d", rapid.IntRange(0, 8).Draw(t, "to")),
		}
		if c.Op == settings.WithdrawKey || c.Op == settings.RotateKey {
			c.Path = ""
		}
		return c
	})
}

// TestTreeFollowsCommands checks, for any commands: versions rise by one with each accepted command and never
// otherwise; a watcher that applies the deltas, a restored replica and a tree built from nothing have the same settings.
func TestTreeFollowsCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := settings.NewModule()
		watcher := m.Tree()
		for _, c := range rapid.SliceOfN(commandGenerator(), 1, 30).Draw(rt, "commands") {
			before := m.Tree()
			o := apply(t, m, c)
			after := m.Tree()
			if o.Accepted && o.Version == after.Version() && before != after && after.Version().Version != before.Version().Version+1 {
				rt.Fatalf("version went from %v to %v", before.Version(), after.Version())
			}
			if !o.Accepted && before != after {
				rt.Fatalf("a refused command changed the tree: %+v", o)
			}
			deltas, ok := m.DeltasSince(watcher.Version())
			if !ok {
				rt.Fatal("no deltas for the watcher's version")
			}
			for _, d := range deltas {
				watcher = applyDelta(rt, watcher, d)
			}
			checkSameTree(rt, "watcher", watcher, after)
		}
		data, err := m.Snapshot()
		if err != nil {
			rt.Fatal(err)
		}
		restored := settings.NewModule()
		if err := restored.Restore(data); err != nil {
			rt.Fatal(err)
		}
		checkSameTree(rt, "restored", restored.Tree(), m.Tree())
		again, _ := restored.Snapshot()
		if string(again) != string(data) {
			rt.Fatalf("snapshot of the restored module differs:\n%s\n%s", again, data)
		}
	})
}

func applyDelta(t *rapid.T, tree *settings.Tree, d settings.Delta) *settings.Tree {
	data, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := settings.ParseDelta(data)
	if err != nil {
		t.Fatal(err)
	}
	next, problems := tree.Apply(parsed)
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	return next
}

// checkSameTree fails the test if two trees differ for their readers.
func checkSameTree(t *rapid.T, who string, a, b *settings.Tree) {
	one, _ := json.Marshal(a)
	two, _ := json.Marshal(b)
	if string(one) != string(two) {
		t.Fatalf("%s has\n%s\nwant\n%s", who, one, two)
	}
	for _, path := range append([]string{""}, b.Organisations()...) {
		if !reflect.DeepEqual(a.Classes(path), b.Classes(path)) {
			t.Fatalf("%s: classes of %q: %v, want %v", who, path, a.Classes(path), b.Classes(path))
		}
		for _, class := range b.Classes(path) {
			x, _ := a.Class(path, class)
			y, _ := b.Class(path, class)
			if x != y {
				t.Fatalf("%s: %q %q: %+v, want %+v", who, path, class, x, y)
			}
			checkExplanation(t, b, y)
		}
	}
}

// checkExplanation checks the origins of a class against its effective deadline and the nodes of the tree.
func checkExplanation(t *rapid.T, tree *settings.Tree, c settings.Class) {
	for _, o := range tree.Explain(c.Organisation, c.Name) {
		if o.Field == "deadline" && o.Value != c.Deadline.String() {
			t.Fatalf("%q %q: explained %+v, effective deadline %v", c.Organisation, c.Name, o, c.Deadline)
		}
		if o.From != "built_in" && !tree.HasOrganisation(o.Node) {
			t.Fatalf("explained by node %q, which doesn't exist", o.Node)
		}
	}
}

func TestRebaseBeginsANewerEpoch(t *testing.T) {
	m := load(t)
	old := m.Tree().Version()
	data, _ := m.Snapshot()
	rebased, err := settings.Rebase(data, 7)
	if err != nil {
		t.Fatal(err)
	}
	restored := settings.NewModule()
	if err := restored.Restore(rebased); err != nil {
		t.Fatal(err)
	}
	v := restored.Tree().Version()
	if !old.Less(v) || v.Epoch != 7 {
		t.Errorf("got version %v after %v, want a newer one of epoch 7", v, old)
	}
	if _, ok := restored.DeltasSince(old); ok {
		t.Error("a watcher of the old epoch got deltas instead of a snapshot")
	}
	if _, err := settings.Rebase(rebased, 7); err == nil {
		t.Error("a rebase to the current epoch was accepted")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(document))
	f.Add([]byte(`{"defaults": {"deadline": 30}, "x": [1, {"y": null}]}`))
	f.Add([]byte("{\n// open\n\"organisations\": {\"a\": {\"organisations\": {\"b\": {}}}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, problems := settings.Parse("f", data)
		for _, p := range problems {
			if p.Line < 1 || p.Message == "" {
				t.Errorf("problem without line or message: %+v", p)
			}
		}
		if len(problems) > 0 {
			return
		}
		again, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, problems := settings.Parse("f", again); len(problems) > 0 {
			t.Errorf("a valid document is refused when written again: %v", problems)
		}
	})
}
