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

// docCommandTimeout is the time after which a documented command is killed.
const docCommandTimeout = time.Minute

// raceExit sets the race detector's sleep at exit from 1 s to 0, which saves a second per command. Races are still reported.
const raceExit = "GORACE=atexit_sleep_ms=0"

// minPageCommands is the lowest number of commands expected in docs/OPERATING.md. It detects a search that finds nothing.
const minPageCommands = 50

// docFailsMark follows a documented command that must end with exitFailed and print the text after the mark.
const docFailsMark = " # fails: "

// servingCommands run until a signal. They are run with --help added, which still parses the other flags. All other documented
// commands are run unchanged.
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

// docStack is a running `guavastack up` and a directory with the files that the documented commands read.
type docStack struct {
	dir   string
	env   []string
	keyID string
}

func startDocStack(t *testing.T) *docStack {
	t.Helper()
	cmd := guavastackCommand("up", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0")
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
			t.Errorf("guavastack up: got error %v after SIGTERM, want exit code 0", err)
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
	s.runJSON(t, &key, "key", "create", "--json", "demo")
	s.keyID = key.ID
	return s
}

// writeFiles creates the files that the documented commands read.
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

// run executes the arguments of a documented command through the shell, for its quoting, and returns output and exit code.
func (s *docStack) run(t *testing.T, line string) ([]byte, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), docCommandTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "sh", "-c", `"$0" `+line, os.Args[0])
	cmd.Dir, cmd.Env = s.dir, s.env
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatalf("%s: start the command: %v", line, err)
	}
	return out, cmd.ProcessState.ExitCode()
}

// runJSON executes a command that prints JSON and decodes its output.
func (s *docStack) runJSON(t *testing.T, into any, args ...string) {
	t.Helper()
	out, code := s.run(t, strings.Join(args, " "))
	if code != exitOK {
		t.Fatalf("%v: got exit code %d, want 0\n%s", args, code, out)
	}
	if err := json.Unmarshal(out, into); err != nil {
		t.Fatalf("%v: decode the output: %v\n%s", args, err, out)
	}
}

var docPlaceholder = regexp.MustCompile(`\b(FLEET-VERSION|VERSION|KEY-ID)\b`)

// expandPlaceholders replaces the placeholders of a documented command with values of the running system.
func (s *docStack) expandPlaceholders(t *testing.T, line string) string {
	t.Helper()
	return docPlaceholder.ReplaceAllStringFunc(line, func(name string) string {
		switch name {
		case "KEY-ID":
			return s.keyID
		case "FLEET-VERSION":
			var fleet adminapi.FleetSettings
			s.runJSON(t, &fleet, "fleet", "get", "--json")
			return fleet.Version
		default:
			var tree adminapi.Settings
			s.runJSON(t, &tree, "settings", "get", "--json")
			return tree.Version
		}
	})
}

// TestDocumentedCommands executes the commands in the fenced blocks of each page in their order.
func TestDocumentedCommands(t *testing.T) {
	for _, page := range docPages(t) {
		lines := fencedCommands(readPage(t, page))
		if filepath.Base(page) == "OPERATING.md" && len(lines) < minPageCommands {
			t.Errorf("%s: got %d commands, want at least %d", page, len(lines), minPageCommands)
		}
		if len(lines) == 0 {
			continue
		}
		t.Run(filepath.Base(page), func(t *testing.T) {
			s := startDocStack(t)
			for _, line := range lines {
				args, output, mustFail := strings.Cut(s.expandPlaceholders(t, line), docFailsMark)
				if slices.Contains(servingCommands, strings.Fields(args)[0]) {
					args += " --help"
				}
				code := exitOK
				if mustFail {
					code = exitFailed
				}
				out, got := s.run(t, args)
				if got != code || !strings.Contains(string(out), output) {
					t.Errorf("guavastack %s: got exit code %d, want %d with %q\n%s", line, got, code, output, out)
				}
			}
		})
	}
}

var docInline = regexp.MustCompile("`guavastack ([^`]+)`")

// TestInlineCommands checks that the commands and flags that the pages mention within their text exist.
func TestInlineCommands(t *testing.T) {
	for _, page := range docPages(t) {
		for _, match := range docInline.FindAllStringSubmatch(readPage(t, page), -1) {
			if problem := checkInline(strings.Fields(match[1])); problem != "" {
				t.Errorf("%s: %s: %s", page, match[0], problem)
			}
		}
	}
}

// checkInline returns the problem with the arguments of a command, or "", without executing it.
func checkInline(args []string) string {
	cmd := rootCommand()
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

// Patterns of the source that define the names that docs/OPERATING.md must explain.
var (
	refusalCodePattern = regexp.MustCompile(`(?:refuse\(http\.Status\w+, |verdict\.New\(verdict\.\w+, |conflict\(verdict\.\w+, http\.Status\w+, |\bcode = |\.Code = |RefuseCode_REFUSE_CODE_\w+:\s+)"([a-z_]+)"`)
	metricPattern      = regexp.MustCompile(`(?:\bobserve\(|\bcount\(|Metrics\.Counter\(|GetOrRegister\w+\(|meter[A-Z]\w* += )"([a-z_.]+)"`)
)

// TestOperatingPageExplainsCodesAndMetrics checks that docs/OPERATING.md names every refusal code and metric in the source.
func TestOperatingPageExplainsCodesAndMetrics(t *testing.T) {
	page := readPage(t, "../../docs/OPERATING.md")
	for _, search := range []struct {
		pattern  *regexp.Regexp
		folders  []string
		expected int
	}{
		{refusalCodePattern, []string{"entry"}, 40},
		{metricPattern, []string{"entry", "agent", "operate"}, 20},
	} {
		found := 0
		for _, folder := range search.folders {
			found += checkExplained(t, page, search.pattern, folder)
		}
		if found < search.expected {
			t.Errorf("%v: got %d names, want at least %d", search.pattern, found, search.expected)
		}
	}
}

// checkExplained checks that page names all matches of pattern in a folder's source, and returns their number.
func checkExplained(t *testing.T, page string, pattern *regexp.Regexp, folder string) int {
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
