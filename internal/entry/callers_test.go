package entry

import (
	"bytes"
	"context"
	"net/url"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

func TestRefusalStatusAndCode(t *testing.T) {
	b := newFixture(t)
	chat := func(body string) call { return call{path: "/v1/chat/completions", key: b.key.Secret, body: body} }
	tests := []struct {
		name   string
		call   call
		status int
		code   string
	}{
		{"no key", call{path: "/v1/chat/completions", body: "{}"}, 401, "missing_key"},
		{"unknown key", call{path: "/v1/chat/completions", key: "gvs_none", body: "{}"}, 401, "invalid_key"},
		{"malformed JSON", chat(`{"model":`), 400, "invalid_json"},
		{"invalid UTF-8", chat("{\"model\":\"\xff\"}"), 400, "invalid_encoding"},
		{"no model", chat(`{}`), 400, "missing_model"},
		{"unknown model", chat(`{"model":"other"}`), 404, "model_not_found"},
		{"unknown class", call{path: "/v1/chat/completions", key: b.key.Secret, headers: map[string]string{headerClass: "none"}}, 400, "unknown_class"},
		{"body too large", chat(`{"model":"m","x":"` + strings.Repeat("x", 65<<10) + `"}`), 413, "body_too_large"},
		{"compressed body", call{path: "/v1/chat/completions", key: b.key.Secret, headers: map[string]string{"Content-Encoding": "gzip"}}, 415, "unsupported_encoding"},
		{"unknown route", call{path: "/services/none", key: b.key.Secret}, 404, "unknown_route"},
		{"no key on a keyed route", call{path: "/services/orders", body: "{}"}, 401, "missing_key"},
		{"idempotency key too long", call{path: "/services/orders", key: b.key.Secret, headers: map[string]string{headerIdempotencyKey: strings.Repeat("k", 256)}}, 400, "idempotency_key_too_long"},
		{"answer of a malformed id", call{method: "GET", path: "/v1/answers/x", key: b.key.Secret}, 400, "invalid_request_id"},
		{"answer that is not kept", call{method: "GET", path: "/v1/answers/x~engine-1~old", key: b.key.Secret}, 404, "answer_not_kept"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := b.do(tt.call)
			if a.status != tt.status || a.code != tt.code {
				t.Errorf("status %d, code %q; want %d, %q; body %s", a.status, a.code, tt.status, tt.code, a.body)
			}
			if a.verdict != "not_run" || a.header.Get(headerVerdict) != "not_run" || a.header.Get(headerRequestID) == "" {
				t.Errorf("verdict %q, headers %v; want not_run and a request id", a.verdict, a.header)
			}
		})
	}
	if n := len(b.service.Arrivals()); n != 0 {
		t.Errorf("service got %d refused requests, want 0", n)
	}
}

// TestKeyNeverReachesBackendServers sends the key in every part of a request and checks that no backend
// server received it in any encoding.
func TestKeyNeverReachesBackendServers(t *testing.T) {
	b := newFixture(t)
	other := b.dir.key(t, "fjordslag")
	k := b.key.Secret
	escaped := strings.Replace(k, "_", `\u005f`, 1)
	percent := strings.Replace(k, "_", "%5F", 1)
	chat := func(content string) call {
		return call{path: "/v1/chat/completions", key: k, body: `{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"` + content + `"}]}`}
	}
	order := func(c call) call {
		c.key = k
		return c
	}
	tests := []struct {
		name    string
		call    call
		refused bool
	}{
		{"authorization header", chat("hi"), false},
		{"x-api-key header", call{path: "/services/orders", headers: map[string]string{"X-Api-Key": k}, body: "1"}, false},
		{"cookie", order(call{path: "/services/orders", headers: map[string]string{"Cookie": "key=" + k}, body: "2"}), false},
		{"header that is not forwarded", order(call{path: "/services/orders", headers: map[string]string{"X-Mine": k}, body: "3"}), false},
		{"forwarded header", order(call{path: "/services/orders", headers: map[string]string{"Traceparent": k}, body: "4"}), true},
		{"query", order(call{path: "/services/orders?key=" + k, body: "5"}), true},
		{"query, percent-encoded", order(call{path: "/services/orders?key=" + percent, body: "6"}), true},
		{"path", order(call{path: "/services/orders/" + k, body: "7"}), true},
		{"body", chat(k), true},
		{"body, escaped", chat(escaped), true},
		{"form body, percent-encoded", order(call{path: "/services/orders", body: "key=" + percent}), true},
		{"key of another organisation in the body", chat(other.Secret), true},
		{"open route with a key in the header", call{path: "/services/stock", key: k, body: "8"}, false},
		{"open route with a key in the body only", call{path: "/services/stock", body: "my key is " + k}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := b.do(tt.call)
			if refused := a.code == "key_in_request"; refused != tt.refused || (!refused && a.status != 200) {
				t.Errorf("got status %d, body %s; want refused %v, and status 200 if not refused", a.status, a.body, tt.refused)
			}
		})
	}
	received := b.received.Bytes()
	if !bytes.Contains(received, []byte("POST /v1/chat/completions")) {
		t.Fatal("recorded no request to the engine")
	}
	for _, form := range []string{k, escaped, percent, url.QueryEscape(k), k[len("gvs_"):], other.Secret} {
		if bytes.Contains(received, []byte(form)) {
			t.Errorf("a backend server received the key as %q", form)
		}
	}
}

func TestOpenAIClientLibraryIsServed(t *testing.T) {
	b := newFixture(t)
	client := openai.NewClient(option.WithBaseURL(b.url+"/v1"), option.WithAPIKey(b.key.Secret), option.WithHTTPClient(b.client))
	params := openai.ChatCompletionNewParams{
		Model:     "m",
		MaxTokens: openai.Int(5),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hi")},
	}
	ctx := context.Background()
	complete, err := client.Chat.Completions.New(ctx, params)
	if err != nil {
		t.Fatal(err)
	}
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if got, want := acc.Choices[0].Message.Content, complete.Choices[0].Message.Content; got != want || want == "" {
		t.Errorf("streamed answer %q, want %q", got, want)
	}
	if acc.Usage.CompletionTokens != 5 {
		t.Errorf("usage has %d completion tokens, want 5", acc.Usage.CompletionTokens)
	}
	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "m" {
		t.Errorf("got models %+v, error %v, want only model m", models, err)
	}
	embedded, err := client.Embeddings.New(ctx, openai.EmbeddingNewParams{
		Model: "m", Input: openai.EmbeddingNewParamsInputUnion{OfString: openai.String("hides")},
	})
	if err != nil || len(embedded.Data) == 0 {
		t.Errorf("got embeddings %+v, error %v, want at least one embedding", embedded, err)
	}
	_, err = client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: "none"}, option.WithMaxRetries(0))
	if err == nil || !strings.Contains(err.Error(), "404") {
		t.Errorf("unknown model: error %v, want a 404", err)
	}
}
