package explain

import (
	"time"

	"github.com/guavastack/guavastack/internal/telemetry"
)

// Messages of a gateway about a server that begins or ceases to count as cold, and the code of requests that are refused for that.
const (
	messageCold = "backend server counts as cold"
	messageWarm = "backend server no longer counts as cold"
	codeCold    = "backend_cold"
)

// maxColdLines bounds the lines about servers that have been cold for longer than the context shows.
const maxColdLines = 20

// coldBefore returns the lines by which servers had begun to count as cold at the processes of the request before the context begins:
// those that it was sent to, or all if it was refused because all are cold.
func (t *Timeline) coldBefore(lines []Line, from time.Time, processes, servers map[string]bool) []Line {
	all := false
	for _, l := range t.Lines {
		all = all || l.Fields["code"] == codeCold
	}
	type key struct{ process, server string }
	last := make(map[key]Line)
	for _, l := range lines {
		server, _ := l.Fields[telemetry.KeyBackendServer].(string)
		isAbout := l.Message == messageCold || l.Message == messageWarm
		if !isAbout || !processes[l.Process] || (!all && !servers[server]) || !l.At.Before(from) {
			continue
		}
		if k := (key{l.Process, server}); !last[k].At.After(l.At) {
			last[k] = l
		}
	}
	var out []Line
	for _, l := range last {
		if l.Message == messageCold {
			out = append(out, l)
		}
	}
	sortLines(out)
	return out[max(0, len(out)-maxColdLines):]
}
