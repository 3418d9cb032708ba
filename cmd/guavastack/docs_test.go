package main

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/guavastack/guavastack/internal/adminapi"
	"github.com/guavastack/guavastack/internal/up"
)

// docCommandTimeout ends a documented command that hangs.
const docCommandTimeout = time.Minute

// raceExit keeps the race detector from sleeping for a second when a short command exits; it still reports races.
const raceExit = "GORACE=atexit_sleep_ms=0"

// minPageCommands is how many lines docs/OPERATING.md has at least, so that the search can't come back empty unseen.
const minPageCommands = 50

// docMustFail marks a documented line that ends with exitFailed and has the text behind the mark in its output.
const docMustFail = " # fails: "

// servingCommands run until they are told to end. Their lines are run with --help, which parses the other flags.
// All other lines are run as they stand.
var servingCommands = []string{"up", "control", "agent", "entry", "run", "standin"}

// docPages returns the pages whose commands are checked.
func docPages(t *testing.T) []string {
	t.Helper()
	pages, err := filepath.Glob("../../docs/operating/*.md")
	if err != nil {
		t.Fatal(err)
	}
	return append([]string{"../../docs/OPERATING.md", "../../README.md"}, pages...)
}

func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// fencedCommands returns the arguments, as shell text, of every guavastack command in a page's fenced blocks.
func fencedCommands(text string) []string {
	var found []string
	fenced := false
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "```") {
			fenced = !fenced
			continue
		}
		for _, prefix := range []string{"$ guavastack ", "go run ./cmd/guavastack "} {
			if args, ok := strings.CutPrefix(line, prefix); ok && fenced {
				found = append(found, args)
			}
		}
	}
	return found
}

// docStack is a running `guavastack up` with the files that the pages name.
type docStack struct {
	dir   string
	env   []string
	keyID string
}

func startDocStack(t *testing.T) *docStack {
	t.Helper()
	cmd := command("up", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0")
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("up: %v", err)
		}
	})
	var ready up.Ready
	if err := json.NewDecoder(bufio.NewReader(stdout)).Decode(&ready); err != nil {
		t.Fatal(err)
	}
	s := &docStack{dir: t.TempDir()}
	s.env = append(os.Environ(), envMain+"=1", raceExit, "GUAVASTACK_ADMIN=http://"+ready.Admin, "GUAVASTACK_TOKEN="+ready.OperatorToken)
	s.writeFiles(t, ready)
	var key adminapi.CreatedKey
	s.query(t, &key, "key", "create", "--json", "demo")
	s.keyID = key.ID
	return s
}

// writeFiles writes every file that a documented command reads.
func (s *docStack) writeFiles(t *testing.T, ready up.Ready) {
	t.Helper()
	control := readPage(t, "../../examples/control.json")
	files := map[string]string{
		"control.json":       control,
		"blank.json":         strings.ReplaceAll(control, "/var/lib/guavastack", filepath.Join(s.dir, "blank")),
		"entry.json":         readPage(t, "../../examples/entry.json"),
		"agent.json":         readPage(t, "../../examples/agent.json"),
		"service-agent.json": readPage(t, "../../examples/service-agent.json"),
		"settings.json":      readPage(t, "../../internal/up/settings.json"),
		"organisation.json":  `{"defaults": {"weight": 1}}`,
		"fleet.json":         `{"pools": [{"model": "other-model", "zones": ["a"], "manual": {"a": 1}}]}`,
		"scenario.json": `{"entries": ["http://` + ready.Listen + `"], "duration_s": 0.5, "model": "` + ready.Model + `",
			"arrivals": {"kind": "constant", "rate_per_second": 10}, "classes": [{"name": "interactive", "stream": true}],
			"organisations": [{"name": "demo", "key": "` + ready.Key + `"}]}`,
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(s.dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// run runs one documented line by the shell, which takes care of quotes, and returns its output and exit code.
func (s *docStack) run(t *testing.T, line string) ([]byte, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), docCommandTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "sh", "-c", `"$0" `+line, os.Args[0])
	cmd.Dir, cmd.Env = s.dir, s.env
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatalf("%s: %v", line, err)
	}
	return out, cmd.ProcessState.ExitCode()
}

// query runs a command that prints JSON.
func (s *docStack) query(t *testing.T, into any, args ...string) {
	t.Helper()
	out, code := s.run(t, strings.Join(args, " "))
	if code != exitOK {
		t.Fatalf("%v: exit code %d\n%s", args, code, out)
	}
	if err := json.Unmarshal(out, into); err != nil {
		t.Fatalf("%v: %v\n%s", args, err, out)
	}
}

var docPlaceholder = regexp.MustCompile(`\b(FLEET-VERSION|VERSION|KEY-ID)\b`)

// fill replaces the placeholders of a line by values of the running system.
func (s *docStack) fill(t *testing.T, line string) string {
	t.Helper()
	return docPlaceholder.ReplaceAllStringFunc(line, func(name string) string {
		switch name {
		case "KEY-ID":
			return s.keyID
		case "FLEET-VERSION":
			var fleet adminapi.FleetSettings
			s.query(t, &fleet, "fleet", "get", "--json")
			return fleet.Version
		default:
			var tree adminapi.Settings
			s.query(t, &tree, "settings", "get", "--json")
			return tree.Version
		}
	})
}

// TestDocumentedCommands runs the pages' commands, in the order of each page.
func TestDocumentedCommands(t *testing.T) {
	for _, page := range docPages(t) {
		lines := fencedCommands(readPage(t, page))
		if filepath.Base(page) == "OPERATING.md" && len(lines) < minPageCommands {
			t.Errorf("%s: %d commands, expected at least %d", page, len(lines), minPageCommands)
		}
		if len(lines) == 0 {
			continue
		}
		t.Run(filepath.Base(page), func(t *testing.T) {
			s := startDocStack(t)
			for _, line := range lines {
				args, complaint, mustFail := strings.Cut(s.fill(t, line), docMustFail)
				if slices.Contains(servingCommands, strings.Fields(args)[0]) {
					args += " --help"
				}
				code := exitOK
				if mustFail {
					code = exitFailed
				}
				out, got := s.run(t, args)
				if got != code || !strings.Contains(string(out), complaint) {
					t.Errorf("guavastack %s: exit code %d, expected %d with %q\n%s", line, got, code, complaint, out)
				}
			}
		})
	}
}

var docInline = regexp.MustCompile("`guavastack ([^`]+)`")

// TestInlineCommands checks that commands named within the pages' text exist and have the flags that stand there.
func TestInlineCommands(t *testing.T) {
	for _, page := range docPages(t) {
		for _, match := range docInline.FindAllStringSubmatch(readPage(t, page), -1) {
			if problem := checkInline(strings.Fields(match[1])); problem != "" {
				t.Errorf("%s: %s: %s", page, match[0], problem)
			}
		}
	}
}

// checkInline says what is wrong with the arguments of a command, without running it.
func checkInline(args []string) string {
	cmd := root()
	for len(args) > 0 && cmd.Command(args[0]) != nil {
		cmd, args = cmd.Command(args[0]), args[1:]
	}
	if cmd.Name == "guavastack" {
		return "no such command"
	}
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") && cmd.ArgsUsage == "" {
		return cmd.Name + " takes no " + args[0]
	}
	for _, arg := range args {
		known := func(f cli.Flag) bool { return slices.Contains(f.Names(), strings.TrimLeft(arg, "-")) }
		if strings.HasPrefix(arg, "-") && !slices.ContainsFunc(cmd.Flags, known) {
			return "no flag " + arg
		}
	}
	return ""
}

// Names that docs/OPERATING.md must explain, as they stand in the source.
var (
	sourceCode   = regexp.MustCompile(`(?:refuse\(http\.Status\w+, |verdict\.New\(verdict\.\w+, |conflict\(verdict\.\w+, http\.Status\w+, |\bcode = |\.Code = |RefuseCode_REFUSE_CODE_\w+:\s+)"([a-z_]+)"`)
	sourceMetric = regexp.MustCompile(`(?:\bobserve\(|\bcount\(|Metrics\.Counter\(|GetOrRegister\w+\(|meter[A-Z]\w* += )"([a-z_.]+)"`)
)

// TestOperatingNamesAll checks that the page has a row for every refusal code and every metric of the source.
func TestOperatingNamesAll(t *testing.T) {
	page := readPage(t, "../../docs/OPERATING.md")
	for _, search := range []struct {
		pattern  *regexp.Regexp
		folders  []string
		expected int
	}{
		{sourceCode, []string{"entry"}, 40},
		{sourceMetric, []string{"entry", "agent", "operate"}, 20},
	} {
		found := 0
		for _, folder := range search.folders {
			found += checkNamed(t, page, search.pattern, folder)
		}
		if found < search.expected {
			t.Errorf("%v: found %d names, expected at least %d", search.pattern, found, search.expected)
		}
	}
}

// checkNamed checks the names in the files of a folder and returns how many there are.
func checkNamed(t *testing.T, page string, pattern *regexp.Regexp, folder string) int {
	t.Helper()
	files, err := filepath.Glob("../../internal/" + folder + "/*.go")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		for _, match := range pattern.FindAllStringSubmatch(readPage(t, file), -1) {
			found++
			if name := strings.ReplaceAll(match[1], ".", "_"); !strings.Contains(page, "`"+name+"`") {
				t.Errorf("docs/OPERATING.md does not explain %q of %s", name, file)
			}
		}
	}
	return found
}
