package telemetry

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strings"
)

// Handler serves the metrics as JSON, or in the Prometheus text format if the request has the query format=prometheus or its Accept
// header contains text/plain or openmetrics. A format in the query has precedence over the Accept header.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if isTextRequested(req) {
			w.Header().Set("Content-Type", "text/plain; version=0.0.4")
			_ = r.WriteText(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.Samples())
	})
}

func isTextRequested(req *http.Request) bool {
	if f := req.URL.Query().Get("format"); f != "" {
		return f == "prometheus"
	}
	accept := req.Header.Get("Accept")
	return strings.Contains(accept, "text/plain") || strings.Contains(accept, "openmetrics")
}

// Status reports whether a process is ready for traffic, with the reason if it is not.
type Status func() (ready bool, reason string)

// Mount adds /metrics, /healthz, /readyz and /debug/pprof/ to mux.
func Mount(mux *http.ServeMux, r *Registry, status Status) {
	mux.Handle("GET /metrics", r.Handler())
	mux.HandleFunc("GET /healthz", Healthz)
	mux.HandleFunc("GET /readyz", Readyz(status))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
}

// Healthz responds with 200 while the process runs.
func Healthz(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"status":"ok"}` + "\n"))
}

// Readyz responds with 200 if status reports ready, otherwise with 503 and the reason.
func Readyz(status Status) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := status()
		w.Header().Set("Content-Type", "application/json")
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(struct {
			Ready  bool   `json:"ready"`
			Reason string `json:"reason,omitempty"`
		}{ready, reason})
	}
}
