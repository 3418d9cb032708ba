package telemetry

import (
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"

	dto "github.com/prometheus/client_model/go"
)

const (
	// DefaultMaxSeries is the default of maxSeries in NewRegistry.
	DefaultMaxSeries = 4096

	// reservoirSize and reservoirAlpha are the parameters of exponentially decaying samples, which bias a histogram towards the
	// last five minutes.
	reservoirSize  = 1028
	reservoirAlpha = 0.015

	overflowValue = "other"
	namePrefix    = "guavastack_"
)

// quantiles are the quantiles exported for a histogram, as fractions; quantileNames are their names in JSON.
var (
	quantiles     = []float64{0.5, 0.95, 0.99, 0.999}
	quantileNames = []string{"p50", "p95", "p99", "p999"}
)

// Label is the name and value of one label of a series.
type Label struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// series is one instrument with its labels.
type series struct {
	name       string
	labels     []Label
	instrument any
}

// Registry holds the metrics of one process. It is safe for concurrent use.
//
// When the number of series has reached the bound, new combinations of labels share one series per metric whose label
// values are all "other".
type Registry struct {
	maxSeries int

	mu       sync.RWMutex
	series   map[string]*series
	attached []metrics.Registry
}

// Attach includes the instruments of another registry in the exported metrics, without labels.
func (r *Registry) Attach(other metrics.Registry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attached = append(r.attached, other)
}

// allSeries returns the series of r and of the attached registries by key. The caller holds r.mu.
func (r *Registry) allSeries() map[string]*series {
	all := maps.Clone(r.series)
	for _, other := range r.attached {
		other.Each(func(name string, instrument any) {
			name = strings.NewReplacer(".", "_", "-", "_").Replace(name)
			all[name] = &series{name: name, instrument: instrument}
		})
	}
	return all
}

// NewRegistry returns an empty registry. maxSeries is the number of series from which new combinations of labels are no longer
// distinguished; series without labels are always created.
func NewRegistry(maxSeries int) *Registry {
	return &Registry{maxSeries: maxSeries, series: make(map[string]*series)}
}

// Counter returns the counter of the given name and labels, and creates it on first use.
func (r *Registry) Counter(name string, labels ...Label) metrics.Counter {
	return getOrCreate(r, name, labels, metrics.NewCounter)
}

// Gauge returns the gauge of the given name and labels, and creates it on first use.
func (r *Registry) Gauge(name string, labels ...Label) metrics.Gauge {
	return getOrCreate(r, name, labels, metrics.NewGauge)
}

// GaugeFunc registers a gauge without labels whose value is the result of f. It replaces an earlier one of that name.
func (r *Registry) GaugeFunc(name string, f func() int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.series[name] = &series{name: name, instrument: metrics.NewFunctionalGauge(f)}
}

// Histogram returns the histogram of the given name and labels, and creates it on first use. The name of a histogram of durations
// should end in their unit.
func (r *Registry) Histogram(name string, labels ...Label) metrics.Histogram {
	return getOrCreate(r, name, labels, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	})
}

// Observe adds d, in microseconds, to the histogram of the given name, which should end in "_us".
func (r *Registry) Observe(name string, d time.Duration, labels ...Label) {
	r.Histogram(name, labels...).Update(d.Microseconds())
}

func getOrCreate[T any](r *Registry, name string, labels []Label, create func() T) T {
	key := seriesKey(name, labels)
	r.mu.RLock()
	s, ok := r.series[key]
	r.mu.RUnlock()
	if !ok {
		s = r.createSeries(key, name, labels, func() any { return create() })
	}
	instrument, ok := s.instrument.(T)
	if !ok {
		// The name is in use for an instrument of another kind. Return an instrument that is not exported, so that callers don't
		// have to handle an error.
		return create()
	}
	return instrument
}

func (r *Registry) createSeries(key, name string, labels []Label, create func() any) *series {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.series[key]; ok {
		return s
	}
	if len(r.series) >= r.maxSeries && len(labels) > 0 {
		labels = overflowLabels(labels)
		key = seriesKey(name, labels)
		if s, ok := r.series[key]; ok {
			return s
		}
	}
	s := &series{name: name, labels: append([]Label(nil), labels...), instrument: create()}
	r.series[key] = s
	return s
}

func overflowLabels(labels []Label) []Label {
	out := make([]Label, len(labels))
	for i, l := range labels {
		out[i] = Label{l.Name, overflowValue}
	}
	return out
}

func seriesKey(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for _, l := range labels {
		b.WriteByte(0)
		b.WriteString(l.Name)
		b.WriteByte(1)
		b.WriteString(l.Value)
	}
	return b.String()
}

// Sample is the state of one series in the JSON format.
type Sample struct {
	Name      string             `json:"name"`
	Labels    []Label            `json:"labels,omitempty"`
	Value     *int64             `json:"value,omitempty"`
	Count     int64              `json:"count,omitempty"`
	Mean      float64            `json:"mean,omitempty"`
	Max       int64              `json:"max,omitempty"`
	Quantiles map[string]float64 `json:"quantiles,omitempty"`
}

// Samples returns the state of all series, ordered by name and labels.
func (r *Registry) Samples() []Sample {
	var out []Sample
	for _, s := range r.sortedSeries() {
		out = append(out, sample(s))
	}
	return out
}

func (r *Registry) sortedSeries() []*series {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := r.allSeries()
	out := make([]*series, 0, len(all))
	for _, k := range slices.Sorted(maps.Keys(all)) {
		out = append(out, all[k])
	}
	return out
}

func sample(s *series) Sample {
	out := Sample{Name: s.name, Labels: s.labels}
	switch m := s.instrument.(type) {
	case metrics.Counter:
		v := m.Count()
		out.Value = &v
	case metrics.Gauge:
		v := m.Value()
		out.Value = &v
	case metrics.Histogram:
		snap := m.Snapshot()
		out.Count = snap.Count()
		out.Mean = snap.Mean()
		out.Max = snap.Max()
		out.Quantiles = make(map[string]float64, len(quantiles))
		for i, v := range snap.Percentiles(quantiles) {
			out.Quantiles[quantileNames[i]] = v
		}
	}
	return out
}

// WriteText writes all series in the Prometheus text format.
func (r *Registry) WriteText(w io.Writer) error {
	families := make(map[string]*dto.MetricFamily)
	var order []string
	for _, s := range r.sortedSeries() {
		name := namePrefix + s.name
		f, ok := families[name]
		if !ok {
			f = &dto.MetricFamily{Name: &name, Type: familyType(s.instrument)}
			families[name] = f
			order = append(order, name)
		}
		f.Metric = append(f.Metric, metric(s))
	}
	for _, name := range order {
		if _, err := expfmt.MetricFamilyToText(w, families[name]); err != nil {
			return err
		}
	}
	return nil
}

func familyType(instrument any) *dto.MetricType {
	t := dto.MetricType_GAUGE
	switch instrument.(type) {
	case metrics.Counter:
		t = dto.MetricType_COUNTER
	case metrics.Histogram:
		t = dto.MetricType_SUMMARY
	}
	return &t
}

func metric(s *series) *dto.Metric {
	m := &dto.Metric{}
	for _, l := range s.labels {
		m.Label = append(m.Label, &dto.LabelPair{Name: &l.Name, Value: &l.Value})
	}
	switch i := s.instrument.(type) {
	case metrics.Counter:
		v := float64(i.Count())
		m.Counter = &dto.Counter{Value: &v}
	case metrics.Gauge:
		v := float64(i.Value())
		m.Gauge = &dto.Gauge{Value: &v}
	case metrics.Histogram:
		m.Summary = summary(i)
	}
	return m
}

func summary(h metrics.Histogram) *dto.Summary {
	snap := h.Snapshot()
	count := uint64(snap.Count())
	sum := snap.Mean() * float64(snap.Count())
	s := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for i, v := range snap.Percentiles(quantiles) {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &quantiles[i], Value: &v})
	}
	return s
}
