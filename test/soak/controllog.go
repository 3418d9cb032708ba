package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// logLine is what a control member logs about the membership of its group and about its own role.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Process string    `json:"process"`
	Action  string    `json:"action"`
	Address string    `json:"address"`
	Reason  string    `json:"reason"`
	Role    string    `json:"role"`
}

// Messages of a control member.
const (
	messageChanged = "control group membership changed"
	messageRole    = "control group: role, term or leader changed"
)

// Actions on the membership.
const (
	actionAdd     = "add learner"
	actionRemove  = "remove"
	actionPromote = "promote"
)

// readControlLogs returns the lines about membership and roles of all control members, by time.
func readControlLogs(dir string) ([]logLine, error) {
	files, err := filepath.Glob(filepath.Join(dir, roleControl+"-*.log"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var out []logLine
	for _, file := range files {
		lines, err := readControlLog(file)
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return out, nil
}

func readControlLog(file string) ([]logLine, error) {
	const maxLine = 1 << 20
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	var out []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var l logLine
		isOne := strings.Contains(scanner.Text(), messageChanged) || strings.Contains(scanner.Text(), messageRole)
		if isOne && json.Unmarshal(scanner.Bytes(), &l) == nil {
			out = append(out, l)
		}
	}
	return out, errors.Trace(scanner.Err())
}

// undone is a learner that was removed again though nothing had happened to its process.
type undone struct {
	At        time.Time
	Member    string // name of its machine
	Reason    string
	LeaderAge time.Duration // of the member that removed it
}

// undoneChanges returns the learners that were added and removed again, with no event at their machine between. machines are names
// by address.
func undoneChanges(lines []logLine, events []event, machines map[string]string) []undone {
	var out []undone
	added := make(map[string]time.Time)   // by address
	leaders := make(map[string]time.Time) // start of the leadership, by process
	for _, l := range lines {
		switch {
		case l.Message == messageRole && l.Role == "leader":
			leaders[l.Process] = l.Time
		case l.Message != messageChanged:
		case l.Action == actionAdd:
			added[l.Address] = l.Time
		case l.Action == actionRemove:
			name := machines[l.Address]
			since, ok := added[l.Address]
			delete(added, l.Address)
			if ok && !isDisturbed(events, name, since, l.Time) {
				out = append(out, undone{l.Time, name, l.Reason, l.Time.Sub(leaders[l.Process])})
			}
		}
	}
	return out
}

// isDisturbed reports whether a machine was killed, stopped or paused between two times.
func isDisturbed(events []event, name string, from, to time.Time) bool {
	for _, e := range events {
		if e.What == "kill all" && e.Time.After(from) && e.Time.Before(to) {
			return true
		}
		isStop := e.What == "kill" || e.What == "terminate" || e.What == "pause" || e.What == "resume"
		if isStop && e.Where == name && e.Time.After(from) && e.Time.Before(to) {
			return true
		}
	}
	return false
}

// promotion is how long a successor waited for its vote.
type promotion struct {
	Member     string
	After      time.Duration
	Never      bool // it had none when it was lost in turn, or at the final fault
	IsAdmitted bool // it was added as a learner
	WasPaused  bool // a member was paused while it waited
}

// promotions returns the time from the start of each successor to its vote. It looks at starts after the first configuration and
// before the final fault.
func promotions(lines []logLine, events []event, addresses map[string]string) []promotion {
	var out []promotion
	for _, start := range successorStarts(events) {
		end := endOf(events, start)
		p := promotion{Member: start.Where, Never: true}
		for _, l := range lines {
			isOwn := l.Message == messageChanged && l.Address == addresses[start.Where] && l.Time.After(start.Time) && l.Time.Before(end)
			p.IsAdmitted = p.IsAdmitted || isOwn && l.Action == actionAdd
			if isOwn && l.Action == actionPromote && p.Never {
				p.After, p.Never = l.Time.Sub(start.Time), false
				p.WasPaused = hasPause(events, start.Time, l.Time)
			}
		}
		out = append(out, p)
	}
	return out
}

// hasPause reports whether a pause began or ended between two times.
func hasPause(events []event, from, to time.Time) bool {
	return slices.ContainsFunc(events, func(e event) bool {
		return (e.What == "pause" || e.What == "resume") && e.Time.After(from) && e.Time.Before(to)
	})
}

// successorStarts returns the starts of empty machines between the first round and the final fault.
func successorStarts(events []event) []event {
	var out []event
	hasData := make(map[string]bool) // machines that started and have not lost their disk since
	isRunning := false
	for _, e := range events {
		switch e.What {
		case "round":
			isRunning = true
		case "empty":
			hasData[e.Where] = false
		case "kill all":
			return out
		case "start":
			if isRunning && !hasData[e.Where] {
				out = append(out, e)
			}
			hasData[e.Where] = true
		}
	}
	return out
}

// endOf returns when the machine of a start was lost again, or the time of the last event.
func endOf(events []event, start event) time.Time {
	for _, e := range events {
		isEnd := e.What == "kill all" || (e.What == "kill" || e.What == "terminate") && e.Where == start.Where
		if isEnd && e.Time.After(start.Time) {
			return e.Time
		}
	}
	return events[len(events)-1].Time
}
