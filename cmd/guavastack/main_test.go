package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/guavastack/guavastack/internal/up"
)

// envMain is the environment variable that makes the test binary run as guavastack, for processes that tests start.
const envMain = "GUAVASTACK_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(envMain) != "" {
		os.Exit(run(os.Args))
	}
	testscript.Main(m, map[string]func(){"guavastack": func() { os.Exit(run(os.Args)) }})
}

// guavastackCommand returns a command that runs guavastack with the given arguments in a process of its own.
func guavastackCommand(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), envMain+"=1")
	return cmd
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			examples, err := filepath.Abs("../../examples")
			env.Setenv("EXAMPLES", examples)
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"up":   cmdUp,
			"http": cmdHTTP,
		},
	})
}

// cmdUp starts `guavastack up` on free ports, waits until it is ready and sets LISTEN, KEY, KEY_ID and the operator's
// environment. The process must end with exit code 0 after SIGTERM.
func cmdUp(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("up can't be negated")
	}
	cmd := guavastackCommand(append([]string{"up", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0"}, args...)...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	ts.Defer(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		ts.Check(cmd.Wait())
	})
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	ts.Check(err)
	var ready up.Ready
	ts.Check(json.Unmarshal(line, &ready))
	ts.Setenv("LISTEN", "http://"+ready.Listen)
	ts.Setenv("KEY", ready.Key)
	ts.Setenv("KEY_ID", ready.KeyID)
	ts.Setenv("ARRIVALS", ready.OrdersArrivals)
	ts.Setenv("GUAVASTACK_ADMIN", "http://"+ready.Admin)
	ts.Setenv("GUAVASTACK_TOKEN", ready.OperatorToken)
}

// cmdHTTP sends a request: http METHOD URL KEY [BODY [HEADER...]]. It prints the status, headers and body of the response. It
// fails on a status of 400 or above; negated, on a lower one.
func cmdHTTP(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: http METHOD URL KEY [BODY [HEADER...]]")
	}
	args = append(args, "")
	req, err := http.NewRequest(args[0], args[1], strings.NewReader(args[3]))
	ts.Check(err)
	if args[2] != "" {
		req.Header.Set("Authorization", "Bearer "+args[2])
	}
	for _, h := range args[4:] {
		if name, value, ok := strings.Cut(h, ": "); ok {
			req.Header.Set(name, value)
		}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	ts.Check(err)
	_, _ = ts.Stdout().Write([]byte(resp.Status + "\n"))
	_ = resp.Header.Write(ts.Stdout())
	_, _ = ts.Stdout().Write(body)
	if failed := resp.StatusCode >= http.StatusBadRequest; failed != neg {
		ts.Fatalf("got status %s, want one below 400, or of at least 400 if negated: %s", resp.Status, body)
	}
}
