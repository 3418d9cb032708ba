package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/guavastack/guavastack/internal/adminclient"
	"github.com/guavastack/guavastack/internal/certs"
	"github.com/guavastack/guavastack/internal/responsecheck"
)

// Names of flags that several commands have.
const (
	flagAdmin     = "admin"
	flagToken     = "token"
	flagAuthority = "authority"
	flagJSON      = "json"
	flagIfMatch   = "if-match"
	flagChangeID  = "change-id"
	flagWait      = "wait"
	flagTimeout   = "timeout"
)

const defaultOperatorTimeout = 30 * time.Second

// adminFlags returns the flags that select the control member of an operator's command and the output format.
func adminFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagAdmin, Usage: "`URL` of a control member's operators' API",
			Value: "http://127.0.0.1:8081", Sources: cli.EnvVars("GUAVASTACK_ADMIN"),
		},
		&cli.StringFlag{Name: flagToken, Usage: "operator's `TOKEN`", Sources: cli.EnvVars("GUAVASTACK_TOKEN")},
		&cli.StringFlag{Name: flagAuthority, Usage: "PEM `FILE` of certificates that sign the member's certificate"},
		&cli.DurationFlag{Name: flagTimeout, Usage: "how long to wait for an answer", Value: defaultOperatorTimeout},
		&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"},
	}
}

// changeFlags returns the flags of commands that change settings.
func changeFlags() []cli.Flag {
	return append(adminFlags(),
		&cli.StringFlag{Name: flagIfMatch, Usage: "`VERSION` that was read; the change is refused if there is a newer one (\"*\": any)", Value: "*"},
		&cli.StringFlag{Name: flagChangeID, Usage: "`ID` of the change; the same id again returns the first outcome"},
		&cli.DurationFlag{Name: flagWait, Usage: "how long to wait until the change is in force everywhere", Value: time.Second},
	)
}

// changeOptions returns the values of changeFlags.
func changeOptions(cmd *cli.Command) adminclient.Options {
	return adminclient.Options{
		IfMatch:  cmd.String(flagIfMatch),
		ChangeID: cmd.String(flagChangeID),
		Wait:     cmd.Duration(flagWait),
	}
}

// operatorAction is the action of a command that calls the operators' API.
type operatorAction func(ctx context.Context, cmd *cli.Command, client *adminclient.Client) error

// withClient runs action with a client for the control member that the flags select, within the timeout of the flags.
func withClient(action operatorAction) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.String(flagToken) == "" {
			return usagef("no operator's token: give --token or set GUAVASTACK_TOKEN")
		}
		httpClient, err := newHTTPClient(cmd.String(flagAuthority))
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
		defer cancel()
		return action(ctx, cmd, adminclient.New(cmd.String(flagAdmin), cmd.String(flagToken), httpClient))
	}
}

// newHTTPClient returns a client that trusts the CA certificates in the file authority, or those of the system if authority is
// empty.
func newHTTPClient(authority string) (*http.Client, error) {
	var roots *x509.CertPool
	if authority != "" {
		var err error
		if roots, err = certs.LoadAuthority(authority); err != nil {
			return nil, err
		}
	}
	return &http.Client{Transport: responsecheck.NewTransport(&http.Transport{
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots},
	})}, nil
}

// printResult prints v as JSON with --json, and otherwise the output of table.
func printResult(cmd *cli.Command, v any, table func(w io.Writer)) error {
	if cmd.Bool(flagJSON) {
		return printJSON(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// oneArg returns the only argument of a command. The usage error names it.
func oneArg(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usagef("%s takes one %s", cmd.FullName(), name)
	}
	return cmd.Args().First(), nil
}

// readInput returns the content of a file, or of standard input for "-".
func readInput(file string) (string, error) {
	if file == "-" {
		data, err := io.ReadAll(os.Stdin)
		return string(data), err
	}
	data, err := os.ReadFile(file)
	return string(data), err
}

// printChange prints the result of an accepted change; behind lists the processes in which it isn't in force yet.
func printChange(cmd *cli.Command, v any, version string, inForce bool, behind []string) error {
	return printResult(cmd, v, func(w io.Writer) {
		if inForce {
			_, _ = fmt.Fprintf(w, "version %s is in force everywhere\n", version)
			return
		}
		_, _ = fmt.Fprintf(w, "version %s is accepted; not yet in force in %v\n", version, behind)
	})
}
