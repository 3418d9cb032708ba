package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the assumed average length of a token, used to estimate the tokens of a prompt.
	bytesPerToken = 4
	// prefixBlockBytes is the length of the blocks whose running hashes identify prompts with a common prefix.
	prefixBlockBytes = 256
	// maxPrefixBlocks bounds the hashes of one request.
	maxPrefixBlocks = 16
)

// completion holds the fields of an OpenAI request that routing needs. Other fields are not parsed.
type completion struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
	Input    json.RawMessage `json:"input"`
}

// parseCompletion parses the body of an OpenAI request.
func parseCompletion(body []byte) (*completion, *refusal) {
	if !utf8.Valid(body) {
		return nil, refuse(http.StatusBadRequest, "invalid_encoding", "the body is not valid UTF-8")
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, refuse(http.StatusBadRequest, "invalid_json", "the body is not a valid JSON object: %v", err)
	}
	if c.Model == "" {
		return nil, refuse(http.StatusBadRequest, "missing_model", "the field \"model\" is missing")
	}
	return &c, nil
}

// prompt returns the raw JSON of the prompt, nil if there is none.
func (c *completion) prompt() []byte {
	for _, p := range []json.RawMessage{c.Messages, c.Prompt, c.Input} {
		if len(p) > 0 && !bytes.Equal(p, []byte("null")) {
			return p
		}
	}
	return nil
}

// promptTokens estimates the tokens of a prompt of n bytes.
func promptTokens(n int) int { return n/bytesPerToken + 1 }

// prefixHashes returns running hashes over the complete blocks of the prompt, shortest prefix first.
// The organisation is part of each hash: prompts of different organisations never share a prefix.
func prefixHashes(organisation, model string, prompt []byte) []uint64 {
	n := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	if n == 0 {
		return nil
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(organisation)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(model)
	out := make([]uint64, n)
	for i := range n {
		_, _ = d.Write(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		out[i] = d.Sum64()
	}
	return out
}
