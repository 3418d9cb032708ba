package backend

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/guavastack/guavastack/internal/core/verdict"
)

// maxUsageBodyBytes is the largest answer, other than an event stream, whose usage is extracted.
const maxUsageBodyBytes = 1 << 20

// engineUsage is the JSON form of the usage in an answer of an engine.
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

// countEvent validates one event of a stream, records its usage and returns its number of output tokens.
func (s *stream) countEvent(data []byte) (int, error) {
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

// usageReader copies an answer of up to maxUsageBodyBytes while it is read, to extract the usage from it.
type usageReader struct {
	reader    io.Reader
	buf       []byte
	truncated bool
}

// Read reads from the answer and copies the data.
func (u *usageReader) Read(p []byte) (int, error) {
	n, err := u.reader.Read(p)
	if len(u.buf)+n > maxUsageBodyBytes {
		u.truncated = true
	}
	if !u.truncated {
		u.buf = append(u.buf, p[:n]...)
	}
	return n, err
}

// usage returns the usage in the answer, or zero if it contains none or was too long.
func (u *usageReader) usage() Usage {
	var answer struct {
		Usage *engineUsage `json:"usage"`
	}
	if u.truncated || json.Unmarshal(u.buf, &answer) != nil || answer.Usage == nil {
		return Usage{}
	}
	return answer.Usage.usage()
}
