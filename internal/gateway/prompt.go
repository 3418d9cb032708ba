package gateway

import (
	"encoding/binary"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastack/guavastack/internal/core/catalog"
	"github.com/guavastack/guavastack/internal/core/poison"
)

// minSharedShare is the smallest shared part of a prompt, as a share of its tokens, with which the request gets a session.
const minSharedShare = 0.4

// sessionOf returns the session id of a prompt, a hash of its shared prefix, or 0 if the prefix is too short. The last part of a
// prompt is not shared.
func sessionOf(p Prompt, prefix []uint64) uint64 {
	shared := sharedTokens(p)
	if shared == 0 || float64(shared) < minSharedShare*float64(p.Tokens) {
		return 0
	}
	return prefix[len(prefix)-2]
}

const (
	// minFetchTokens is the smallest shared prefix that is fetched from another server.
	minFetchTokens = 256
	// maxFetchShare is the largest share of the time to prefill a prefix that fetching it may take.
	maxFetchShare = 0.6
	// assumedPrefillPerToken is the time to prefill one token until a service's answers show it.
	assumedPrefillPerToken = 10 * time.Microsecond
)

// isWorthFetching reports whether a server of the service fetches the shared prefix of the prompt from another one faster than it
// computes it.
func (s *Server) isWorthFetching(p Prompt, service *catalog.Service) bool {
	if service == nil || service.Engine == nil {
		return false
	}
	fetch := service.Engine.CacheTransferPerToken
	limit := maxFetchShare * float64(s.paces.prefillPerToken(service.Name))
	return fetch > 0 && float64(fetch) <= limit && sharedTokens(p) >= minFetchTokens
}

// sharedTokens returns the number of tokens in the shared prefix of a prompt.
func sharedTokens(p Prompt) int {
	shared := 0
	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		shared += part.Tokens
	}
	return shared
}

// sharedParts returns the ids of the parts of a prompt that other requests may share: all but the last.
func sharedParts(p Prompt) []uint64 {
	parts := p.Parts[:max(len(p.Parts)-1, 0)]
	ids := make([]uint64, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
	}
	return ids
}

// partIDs are ids of prompt parts, which are formatted only if they are logged.
type partIDs []uint64

// LogValue implements slog.LogValuer.
func (ids partIDs) LogValue() slog.Value {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = poison.Format(id)
	}
	return slog.AnyValue(out)
}

// unsharedTokens returns the number of tokens after the shared prefix of a prompt.
func unsharedTokens(p Prompt) int {
	if len(p.Parts) == 0 {
		return p.Tokens
	}
	return p.Parts[len(p.Parts)-1].Tokens
}

// prefixHashes returns a hash of each prefix of a prompt's parts, shortest first, since a cached part is usable only after all
// parts before it.
func prefixHashes(parts []PromptPart) []uint64 {
	hashes := make([]uint64, len(parts))
	var h xxhash.Digest
	h.Reset()
	var id [8]byte
	for i, p := range parts {
		binary.BigEndian.PutUint64(id[:], p.ID)
		_, _ = h.Write(id[:]) // never fails
		hashes[i] = h.Sum64()
	}
	return hashes
}
