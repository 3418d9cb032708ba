package settings

import (
	"strconv"
	"strings"
	"time"
)

// field describes one setting of a class: whether overrides set it, how to copy it to a class and how to format it.
type field struct {
	name   string
	isSet  func(*Overrides) bool
	apply  func(*Class, *Overrides)
	format func(*Class) string
}

// plainField returns a field that has the same type in overrides and in the effective class.
func plainField[T any](name string, from func(*Overrides) *T, to func(*Class) *T, format func(T) string) field {
	return convertedField(name, from, to, func(v T) T { return v }, format)
}

func convertedField[S, T any](name string, from func(*Overrides) *S, to func(*Class) *T, conv func(S) T, format func(T) string) field {
	return field{
		name:   name,
		isSet:  func(o *Overrides) bool { return from(o) != nil },
		apply:  func(c *Class, o *Overrides) { *to(c) = conv(*from(o)) },
		format: func(c *Class) string { return format(*to(c)) },
	}
}

func durationField(name string, from func(*Overrides) *Duration, to func(*Class) *time.Duration) field {
	return convertedField(name, from, to, func(d Duration) time.Duration { return time.Duration(d) }, time.Duration.String)
}

func limitField(name string, from func(*LimitSet) *int, to func(*Class) *int) field {
	return plainField("limits."+name, func(o *Overrides) *int {
		if o.Limits == nil {
			return nil
		}
		return from(o.Limits)
	}, to, strconv.Itoa)
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// fields are all settings of a class in the order in which they are shown.
var fields = []field{
	plainField("tier", func(o *Overrides) *int { return o.Tier }, func(c *Class) *int { return &c.Tier }, strconv.Itoa),
	durationField("first_token_target", func(o *Overrides) *Duration { return o.FirstTokenTarget }, func(c *Class) *time.Duration { return &c.FirstTokenTarget }),
	durationField("between_token_target", func(o *Overrides) *Duration { return o.BetweenTokenTarget }, func(c *Class) *time.Duration { return &c.BetweenTokenTarget }),
	durationField("deadline", func(o *Overrides) *Duration { return o.Deadline }, func(c *Class) *time.Duration { return &c.Deadline }),
	plainField("weight", func(o *Overrides) *float64 { return o.Weight }, func(c *Class) *float64 { return &c.Weight }, formatFloat),
	plainField("floor_share", func(o *Overrides) *float64 { return o.FloorShare }, func(c *Class) *float64 { return &c.FloorShare }, formatFloat),
	plainField("repeatable", func(o *Overrides) *bool { return o.Repeatable }, func(c *Class) *bool { return &c.Repeatable }, strconv.FormatBool),
	plainField("preemptible", func(o *Overrides) *bool { return o.Preemptible }, func(c *Class) *bool { return &c.Preemptible }, strconv.FormatBool),
	plainField("keep_answer", func(o *Overrides) *bool { return o.KeepAnswer }, func(c *Class) *bool { return &c.KeepAnswer }, strconv.FormatBool),
	plainField("attempts", func(o *Overrides) *int { return o.Attempts }, func(c *Class) *int { return &c.Attempts }, strconv.Itoa),
	limitField("requests_per_minute", func(l *LimitSet) *int { return l.RequestsPerMinute }, func(c *Class) *int { return &c.Limits.RequestsPerMinute }),
	limitField("tokens_per_minute", func(l *LimitSet) *int { return l.TokensPerMinute }, func(c *Class) *int { return &c.Limits.TokensPerMinute }),
	limitField("concurrency", func(l *LimitSet) *int { return l.Concurrency }, func(c *Class) *int { return &c.Limits.Concurrency }),
}

// lockName returns the name under which a parent locks the field.
func (f field) lockName() string {
	name, _, _ := strings.Cut(f.name, ".")
	return name
}

// initialClass holds the built-in defaults of the fields that no node sets.
var initialClass = Class{
	FirstTokenTarget:   2 * time.Second,
	BetweenTokenTarget: 100 * time.Millisecond,
	Deadline:           5 * time.Minute,
	Weight:             1,
	FloorShare:         0.02,
	Attempts:           3,
}

// applyOverrides copies the fields that o sets to c.
func applyOverrides(c *Class, o *Overrides) {
	if o == nil {
		return
	}
	for _, f := range fields {
		if f.isSet(o) {
			f.apply(c, o)
		}
	}
}

// effectiveLimits returns l as effective limits, with 0 for those that are not set.
func effectiveLimits(l LimitSet) Limits {
	var out Limits
	for _, v := range []struct {
		to   *int
		from *int
	}{
		{&out.RequestsPerMinute, l.RequestsPerMinute},
		{&out.TokensPerMinute, l.TokensPerMinute},
		{&out.Concurrency, l.Concurrency},
	} {
		if v.from != nil {
			*v.to = *v.from
		}
	}
	return out
}

// capped returns the lower of each limit. Zero means no limit.
func (l Limits) capped(by Limits) Limits {
	return Limits{
		RequestsPerMinute: lowerLimit(l.RequestsPerMinute, by.RequestsPerMinute),
		TokensPerMinute:   lowerLimit(l.TokensPerMinute, by.TokensPerMinute),
		Concurrency:       lowerLimit(l.Concurrency, by.Concurrency),
	}
}

// lowerLimit returns the lower of two limits. Zero means no limit.
func lowerLimit(a, b int) int {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}
