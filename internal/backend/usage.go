package backend

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

// usageTailBytes is how much of a whole answer is kept to find the usage in it.
const usageTailBytes = 1 << 20

// engineUsage is the usage in an answer of an engine.
type engineUsage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	Details          struct {
		CachedTokens uint64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u *engineUsage) usage() Usage {
	return Usage{
		Prompt:   u.PromptTokens,
		Cached:   u.Details.CachedTokens,
		Output:   u.CompletionTokens,
		Reported: true,
	}
}

// inspect checks one event of a stream, takes its usage and returns the output tokens in it.
func (s *stream) inspect(data []byte) (int, error) {
	if !bytes.HasPrefix(data, []byte("{")) || !json.Valid(data) {
		return 0, verdict.New(verdict.MayHaveRun, "answer_garbled", "engine sent an event that is not a JSON object")
	}
	if bytes.Contains(data, []byte(`"usage"`)) && !bytes.Contains(data, []byte(`"usage":null`)) {
		var chunk struct {
			Usage   *engineUsage      `json:"usage"`
			Choices []json.RawMessage `json:"choices"`
		}
		if err := json.Unmarshal(data, &chunk); err == nil && chunk.Usage != nil {
			s.usage = chunk.Usage.usage()
			return min(len(chunk.Choices), 1), nil
		}
	}
	s.usage.Output++
	return 1, nil
}

// usageReader keeps a bounded copy of a whole answer to find the usage in it.
type usageReader struct {
	reader io.Reader
	kept   []byte
	long   bool
}

// Read reads on.
func (u *usageReader) Read(p []byte) (int, error) {
	n, err := u.reader.Read(p)
	if len(u.kept)+n > usageTailBytes {
		u.long = true
	}
	if !u.long {
		u.kept = append(u.kept, p[:n]...)
	}
	return n, err
}

// usage returns the usage in the answer, zero where it states none.
func (u *usageReader) usage() Usage {
	var answer struct {
		Usage *engineUsage `json:"usage"`
	}
	if u.long || json.Unmarshal(u.kept, &answer) != nil || answer.Usage == nil {
		return Usage{}
	}
	return answer.Usage.usage()
}
