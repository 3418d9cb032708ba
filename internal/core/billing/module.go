package billing

import (
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/state"
)

// ModuleName is the name of the billing module in the replicated state machine.
const ModuleName = "billing"

// Retention, in windows.
const (
	// KeptWindows is how many windows later the counters of a closed window are deleted and its late usage is refused.
	KeptWindows = 120
	// maxKeptWindows is the number of closed windows kept for reconciliation. Beyond it, reported and skipped windows are
	// deleted; others are kept.
	maxKeptWindows = 1000
)

// Outcome codes of commands.
const (
	CodeOK       = "ok"
	CodeStale    = "stale"    // the command was built from an older state
	CodeMismatch = "mismatch" // the window is not the due one
)

// Status is the reporting state of a closed window.
type Status string

const (
	// Closed windows have a committed report that the platform has neither confirmed nor disputed.
	Closed Status = "closed"
	// Reported windows are confirmed by the platform.
	Reported Status = "reported"
	// Skipped windows have figures at the platform that this log never committed, as after a restore from a backup. Nothing
	// is reported for them; their counted usage goes into the next report as a correction.
	Skipped Status = "skipped"
	// Disputed windows have other figures at the platform; an operator must resolve them.
	Disputed Status = "disputed"
)

// Command is the body of a state command of this module; exactly one field is set.
type Command struct {
	Begin   *Begin   `json:"begin,omitempty"`
	Advance *Advance `json:"advance,omitempty"`
	Record  *Record  `json:"record,omitempty"`
	Close   *Close   `json:"close,omitempty"`
	Skip    *Skip    `json:"skip,omitempty"`
	Confirm *Confirm `json:"confirm,omitempty"`
}

// Begin sets the number of the first window, which is 1 otherwise. It is accepted only as the first command.
type Begin struct {
	Window uint64 `json:"window"`
}

// Advance opens the window after Window. Window is closed later, when late counters have arrived.
type Advance struct {
	Window uint64 `json:"window"`
}

// Record commits cumulative counters.
type Record struct {
	Counters []Counter `json:"counters"`
}

// Close commits the report of a window. The proposer builds the report, so that members of different software versions
// store the same bytes. Base is the revision that it was built from and must be the current one.
type Close struct {
	Window uint64 `json:"window"`
	Base   uint64 `json:"base"`
	Report []byte `json:"report"`
}

// Skip closes a window without a report.
type Skip struct {
	Window uint64 `json:"window"`
	Reason string `json:"reason"`
}

// Confirm records the platform's answer to the report of a window. It does not change the status of a reported or skipped
// window.
type Confirm struct {
	Window uint64 `json:"window"`
	Status Status `json:"status"`
	Reason string `json:"reason,omitempty"`
}

// Result is the outcome of a command.
type Result struct {
	Code string `json:"code"`
	Open uint64 `json:"open"`
}

// Window is a closed window.
type Window struct {
	Window      uint64 `json:"window"`
	Status      Status `json:"status"`
	Reason      string `json:"reason,omitempty"`
	ClosedMS    int64  `json:"closed_ms"`
	ConfirmedMS int64  `json:"confirmed_ms,omitempty"`
	Report      []byte `json:"report,omitempty"` // committed bytes; empty for a skipped window
}

// committedCounter is a committed counter with the amounts that committed reports already contain.
type committedCounter struct {
	Counter
	Billed Figures `json:"billed"`
}

// snapshot is the whole state of the module.
type snapshot struct {
	Revision uint64             `json:"revision"` // number of accepted commands
	Open     uint64             `json:"open"`
	Closed   uint64             `json:"closed"`    // newest closed window
	Opened   []int64            `json:"opened_ms"` // of the windows after Closed, up to Open
	Counts   []committedCounter `json:"counts"`
	Windows  []Window           `json:"windows"`
}

// Module is the billing module of the replicated state machine. It is not safe for concurrent use.
type Module struct {
	s        snapshot // without Counts
	counters map[counterKey]*committedCounter
}

// NewModule returns a module whose first open window is 1.
func NewModule() *Module {
	return &Module{s: snapshot{Open: 1, Opened: []int64{0}}, counters: make(map[counterKey]*committedCounter)}
}

// Name implements state.Module.
func (m *Module) Name() string { return ModuleName }

// Apply implements state.Module.
func (m *Module) Apply(_ uint64, cmd state.Command) (json.RawMessage, error) {
	var c Command
	if err := json.Unmarshal(cmd.Body, &c); err != nil {
		return nil, errors.NewNotValid(err, "billing command")
	}
	code, err := m.apply(cmd.AtMS, c)
	if err != nil {
		return nil, err
	}
	return json.Marshal(Result{Code: code, Open: m.s.Open})
}

func (m *Module) apply(atMS int64, c Command) (string, error) {
	switch {
	case c.Begin != nil:
		return m.begin(atMS, *c.Begin), nil
	case c.Advance != nil:
		return m.advance(atMS, *c.Advance), nil
	case c.Record != nil:
		return m.record(*c.Record), nil
	case c.Close != nil:
		return m.close(*c.Close)
	case c.Skip != nil:
		return m.skip(atMS, *c.Skip), nil
	case c.Confirm != nil:
		return m.confirm(atMS, *c.Confirm), nil
	default:
		return "", errors.NotValidf("billing command without a body")
	}
}

// IsNew reports whether the module has not accepted a command yet.
func (m *Module) IsNew() bool { return m.s.Revision == 0 }

func (m *Module) begin(atMS int64, c Begin) string {
	if !m.IsNew() || c.Window == 0 {
		return CodeMismatch
	}
	m.s.Revision++
	m.s.Open, m.s.Closed = c.Window, c.Window-1
	m.s.Opened = []int64{atMS}
	return CodeOK
}

func (m *Module) advance(atMS int64, c Advance) string {
	if c.Window != m.s.Open {
		return CodeMismatch
	}
	m.s.Revision++
	m.s.Open++
	m.s.Opened = append(m.s.Opened, atMS)
	return CodeOK
}

func (m *Module) record(c Record) string {
	m.s.Revision++
	for _, counter := range c.Counters {
		m.store(counter)
	}
	return CodeOK
}

func (m *Module) store(c Counter) {
	if !m.Accepts(c.Window) {
		return
	}
	known, ok := m.counters[c.counterKey()]
	if !ok {
		known = &committedCounter{Counter: c}
		m.counters[c.counterKey()] = known
	}
	known.Figures = known.Figures.merge(c.Figures)
}

// Accepts reports whether usage of the window is still accepted for billing.
func (m *Module) Accepts(window uint64) bool {
	return window > 0 && window <= m.s.Open && window+KeptWindows > m.s.Closed
}

func (m *Module) close(c Close) (string, error) {
	if c.Window != m.s.Closed+1 || c.Window >= m.s.Open {
		return CodeMismatch, nil
	}
	if c.Base != m.s.Revision {
		return CodeStale, nil
	}
	report, err := ParseReport(c.Report)
	if err != nil {
		return "", err
	}
	m.s.Revision++
	for _, known := range m.counters {
		if known.Window <= c.Window {
			known.Billed = known.Figures
		}
	}
	m.recordClosed(Window{Window: c.Window, Status: Closed, ClosedMS: report.ClosedMS, Report: c.Report})
	return CodeOK, nil
}

// skip closes a window without a report. Its usage is billed as a correction in the next report.
func (m *Module) skip(atMS int64, c Skip) string {
	if c.Window != m.s.Closed+1 || c.Window >= m.s.Open {
		return CodeMismatch
	}
	m.s.Revision++
	m.recordClosed(Window{Window: c.Window, Status: Skipped, Reason: c.Reason, ClosedMS: atMS})
	return CodeOK
}

// recordClosed records a window as closed. Usage that arrives for it afterwards is billed as a correction.
func (m *Module) recordClosed(w Window) {
	m.s.Closed = w.Window
	m.s.Opened = m.s.Opened[1:]
	m.s.Windows = append(m.s.Windows, w)
	m.prune()
}

func (m *Module) confirm(atMS int64, c Confirm) string {
	i := slices.IndexFunc(m.s.Windows, func(w Window) bool { return w.Window == c.Window })
	if i < 0 {
		return CodeMismatch
	}
	m.s.Revision++
	w := &m.s.Windows[i]
	if w.Status == Reported || w.Status == Skipped {
		return CodeOK
	}
	w.Status = c.Status
	w.Reason = c.Reason
	w.ConfirmedMS = atMS
	return CodeOK
}

// prune deletes the counters of windows that no longer accept late usage, and the oldest reported and skipped windows
// beyond maxKeptWindows.
func (m *Module) prune() {
	for k := range m.counters {
		if !m.Accepts(k.window) {
			delete(m.counters, k)
		}
	}
	surplus := len(m.s.Windows) - maxKeptWindows
	m.s.Windows = slices.DeleteFunc(m.s.Windows, func(w Window) bool {
		if surplus <= 0 || w.Status != Reported && w.Status != Skipped {
			return false
		}
		surplus--
		return true
	})
}

// Open returns the number of the open window.
func (m *Module) Open() uint64 { return m.s.Open }

// OpenedMS returns when the open window was opened, in milliseconds since 1970 by the wall clock of the proposer. It
// returns 0 for the first window of a module without a Begin command.
func (m *Module) OpenedMS() int64 { return m.s.Opened[len(m.s.Opened)-1] }

// NextToClose returns the window to close next, or false if only the open window is left.
func (m *Module) NextToClose() (uint64, bool) {
	return m.s.Closed + 1, m.s.Closed+1 < m.s.Open
}

// PrepareClose builds the command that closes the due window. It returns a not-found error if only the open window is left.
func (m *Module) PrepareClose(nowMS int64) (Close, error) {
	window, ok := m.NextToClose()
	if !ok {
		return Close{}, errors.NotFoundf("window to close")
	}
	report, err := json.Marshal(buildReport(window, m.s.Opened[0], nowMS, m.unbilled(window)))
	if err != nil {
		return Close{}, errors.Trace(err)
	}
	return Close{Window: window, Base: m.s.Revision, Report: report}, nil
}

// unbilled sums the usage of the windows up to window that no report contains yet.
func (m *Module) unbilled(window uint64) map[lineKey]Figures {
	sums := make(map[lineKey]Figures)
	for _, known := range m.counters {
		rest := known.Sub(known.Billed)
		if known.Window > window || rest == (Figures{}) {
			continue
		}
		k := lineKey{window: known.Window, key: known.Key}
		sums[k] = sums[k].Add(rest)
	}
	return sums
}

// NextReport returns the oldest window in status Closed, whose report is to be sent next. Reports are sent in order; a
// disputed window does not block those after it.
func (m *Module) NextReport() (Window, bool) {
	i := slices.IndexFunc(m.s.Windows, func(w Window) bool { return w.Status == Closed })
	if i < 0 {
		return Window{}, false
	}
	return m.s.Windows[i], true
}

// Unreported returns the number of windows in status Closed, whose reports the platform has neither confirmed nor disputed.
func (m *Module) Unreported() int {
	n := 0
	for _, w := range m.s.Windows {
		if w.Status == Closed {
			n++
		}
	}
	return n
}

// Windows returns the closed windows, oldest first.
func (m *Module) Windows() []Window { return slices.Clone(m.s.Windows) }

// isCommitted reports whether the committed counter for c's key equals or exceeds c in every amount.
func (m *Module) isCommitted(c Counter) bool {
	known, ok := m.counters[c.counterKey()]
	return ok && known.merge(c.Figures) == known.Figures
}

// CommittedUsage sums the committed counters of a window, including late usage.
func (m *Module) CommittedUsage(window uint64) []Line {
	sums := make(map[lineKey]Figures)
	for _, known := range m.counters {
		if known.Window == window {
			k := lineKey{window: window, key: known.Key}
			sums[k] = sums[k].Add(known.Figures)
		}
	}
	return buildReport(window, 0, 0, sums).Lines
}

// Snapshot implements state.Module.
func (m *Module) Snapshot() (json.RawMessage, error) {
	s := m.s
	s.Counts = make([]committedCounter, 0, len(m.counters))
	for _, known := range m.counters {
		s.Counts = append(s.Counts, *known)
	}
	slices.SortFunc(s.Counts, func(a, b committedCounter) int { return compareCounterKeys(a.counterKey(), b.counterKey()) })
	return json.Marshal(s)
}

// Restore implements state.Module.
func (m *Module) Restore(data json.RawMessage) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.NewNotValid(err, "billing snapshot")
	}
	if s.Open != s.Closed+uint64(len(s.Opened)) {
		return errors.NotValidf("billing snapshot: open %d, closed %d, %d opened", s.Open, s.Closed, len(s.Opened))
	}
	m.counters = make(map[counterKey]*committedCounter, len(s.Counts))
	for i := range s.Counts {
		m.counters[s.Counts[i].counterKey()] = &s.Counts[i]
	}
	s.Counts = nil
	m.s = s
	return nil
}

// Encode returns the state command that carries c, for a proposal.
func Encode(c Command, actor string, atMS int64) ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(state.Command{Module: ModuleName, AtMS: atMS, Body: body, Actor: actor})
}
