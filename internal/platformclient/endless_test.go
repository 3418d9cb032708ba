package platformclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/platformclient"
)

// endlessPlatform answers each request with start, and then with repeated until the caller closes the connection. sent receives the number of
// bytes sent.
func endlessPlatform(t *testing.T, start, repeated string) (url string, sent <-chan int) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	total := make(chan int, 1)
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, err = io.WriteString(conn, start)
		n := 0
		for err == nil {
			var piece int
			piece, err = io.WriteString(conn, repeated)
			n += piece
		}
		total <- n
	}()
	return "http://" + lis.Addr().String(), total
}

// TestAnswersWithoutEndAreGivenUp guards against a leader that runs out of memory by what a faulty platform sends without end.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	const (
		socketBuffers = 16 << 20 // upper limit of what the two sockets hold when the connection is closed
		listBytes     = 8 << 20  // of the largest answer that is read
		ok            = "HTTP/1.1 200 OK\r\n"
	)
	piece := strings.Repeat("x", 16<<10)
	calls := map[string]func(context.Context, *platformclient.Client) error{
		"order": func(ctx context.Context, c *platformclient.Client) error {
			_, err := c.Order(ctx, startOrder("x", "a"))
			return err
		},
		"inventory": func(ctx context.Context, c *platformclient.Client) error { _, err := c.Inventory(ctx); return err },
		"reported usage": func(ctx context.Context, c *platformclient.Client) error {
			_, err := c.ReportedUsage(ctx, 4)
			return err
		},
		"usage": func(ctx context.Context, c *platformclient.Client) error {
			return c.ReportUsage(ctx, platformclient.UsageReport{Sender: sender, Window: 4, Body: []byte("{}")})
		},
		"weights": func(ctx context.Context, c *platformclient.Client) error { _, err := c.WeightStore(ctx); return err },
	}
	for name, text := range map[string]struct{ start, repeated string }{
		"no answer":            {"", piece},
		"header":               {ok + "X-Long: ", piece},
		"body":                 {ok + "\r\n", piece},
		"body with a length":   {ok + "Content-Length: 99999999999\r\n\r\n", piece},
		"body of an error":     {"HTTP/1.1 500 X\r\n\r\n", piece},
		"body in chunks":       {ok + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + piece + "\r\n"},
		"chunk size":           {ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1024)},
		"trailer":              {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", piece},
		"informational answer": {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40)},
	} {
		for call, do := range calls {
			t.Run(name+", "+call, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				url, sent := endlessPlatform(t, text.start, text.repeated)
				if err := do(ctx, newClient(t, url)); err == nil || ctx.Err() != nil {
					t.Errorf("error %v, want one before the deadline", err)
				}
				if n := <-sent; n > listBytes+socketBuffers {
					t.Errorf("the platform sent %d MiB before its connection was closed, want at most %d", n>>20, (listBytes+socketBuffers)>>20)
				}
			})
		}
	}
}
