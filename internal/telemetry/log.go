// Package telemetry provides the logger and the metrics of a process.
//
// Logs are JSON lines written by log/slog. Metrics are go-metrics instruments with labels, bounded in number.
package telemetry

import (
	"io"
	"log/slog"

	"github.com/juju/errors"
)

// Keys of the log attributes that all packages share.
const (
	KeyRequestID     = "request_id"
	KeyOrganisation  = "organisation"
	KeyClass         = "class"
	KeyBackendServer = "backend_server"
	KeyVerdict       = "verdict"
	KeyError         = "error"
)

// NewLogger returns a logger that writes JSON lines of the given level (debug, info, warn or error) or above to w.
// It returns an error for an unknown level.
func NewLogger(w io.Writer, level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.NotValidf("log level %q", level)
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l})), nil
}
