package entry

import (
	"net/http"

	"github.com/guavastack/guavastack/proto/linkpb"
)

// forwardedHeaders are forwarded from callers to backend servers. All others, including credentials, are dropped.
var forwardedHeaders = []string{
	"Accept",
	"Accept-Language",
	"Content-Language",
	"Content-Type",
	"Traceparent",
	"Tracestate",
}

// returnedHeaders are forwarded from backend servers to callers.
var returnedHeaders = map[string]bool{
	"Cache-Control":    true,
	"Content-Language": true,
	"Content-Type":     true,
	"Etag":             true,
	"Last-Modified":    true,
	"Location":         true,
	"Retry-After":      true,
}

// forwardedFrom returns the headers of a request that are forwarded to its backend server.
func forwardedFrom(h http.Header) []*linkpb.Header {
	var out []*linkpb.Header
	for _, name := range forwardedHeaders {
		for _, value := range h.Values(name) {
			out = append(out, &linkpb.Header{Name: name, Value: value})
		}
	}
	return out
}

// copyReturned adds the headers of an answer that are returned to the caller to h.
func copyReturned(h http.Header, headers []*linkpb.Header) {
	for _, f := range headers {
		name := http.CanonicalHeaderKey(f.Name)
		if returnedHeaders[name] {
			h.Add(name, f.Value)
		}
	}
}
