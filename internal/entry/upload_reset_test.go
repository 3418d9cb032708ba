package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/agent"
	"github.com/guavastack/guavastack/internal/responsecheck/responsechecktest"
)

// try sends a request with a key. Other than doAt it expects that the connection may end without an answer.
func (b *fixture) try(url string, c call) (status int, body string, err error) {
	r, err := http.NewRequest(http.MethodPost, url+c.path, strings.NewReader(c.body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	res, err := b.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}

// TestAnswerResetDuringUploadIsNotRelayed guards against a part of an answer that the caller takes for whole: a server answers a long request at once
// with a success without a length, and resets the connection while the request is still being written.
func TestAnswerResetDuringUploadIsNotRelayed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, part := range map[string]string{
		"behind the head":     head + "\r\n",
		"inside the body":     head + "Content-Type: application/json\r\n\r\n{}",
		"behind whole events": head + "Content-Type: text/event-stream\r\n\r\ndata: {}\n\n",
	} {
		for _, after := range []time.Duration{0, 30 * time.Millisecond} {
			t.Run(name+" "+after.String(), func(t *testing.T) {
				b := newFixture(t)
				b.backends = nil
				b.configure = func(c *Config) { c.MaxBodyBytes = 2 * responsechecktest.UploadBytes }
				url, _ := b.startEntry("entry-2")
				address := "http://" + responsechecktest.ServeReset(t, part, after)
				b.startAgent("engine-2", agent.BackendConfig{Kind: agent.KindEngine, URL: address, Model: "m", Slots: 4})
				b.startAgent("orders-2", agent.BackendConfig{Kind: agent.KindService, URL: address, Model: "orders", Slots: 4})
				long := strings.Repeat("x", responsechecktest.UploadBytes)
				chat := b.chat("3")
				chat.body = strings.Replace(chat.body, "hi", long, 1)
				for kind, c := range map[string]call{"engine": chat, "service": b.order(long, "")} {
					status, body, err := b.try(url, c)
					if err == nil && status != http.StatusBadGateway || strings.Contains(body, "[DONE]") {
						t.Errorf("%s: status %d, body %q; want 502, or a connection that ends inside the answer", kind, status, body)
					}
				}
			})
		}
	}
}
