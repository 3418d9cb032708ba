package settings

import (
	"strconv"
	"strings"
	"time"
)

// field is one setting of a class: how to tell that overrides set it, to carry it over and to show it.
type field struct {
	name  string
	isSet func(*Overrides) bool
	apply func(*Class, *Overrides)
	show  func(*Class) string
}

// plainField is a field whose written and effective form are of one type.
func plainField[T any](name string, from func(*Overrides) *T, to func(*Class) *T, show func(T) string) field {
	return convertedField(name, from, to, func(v T) T { return v }, show)
}

func convertedField[S, T any](name string, from func(*Overrides) *S, to func(*Class) *T, conv func(S) T, show func(T) string) field {
	return field{
		name:  name,
		isSet: func(o *Overrides) bool { return from(o) != nil },
		apply: func(c *Class, o *Overrides) { *to(c) = conv(*from(o)) },
		show:  func(c *Class) string { return show(*to(c)) },
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

func showFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// fields are all settings of a class in the order in which they are shown.
var fields = []field{
	plainField("tier", func(o *Overrides) *int { return o.Tier }, func(c *Class) *int { return &c.Tier }, strconv.Itoa),
	durationField("first_token_target", func(o *Overrides) *Duration { return o.FirstTokenTarget }, func(c *Class) *time.Duration { return &c.FirstTokenTarget }),
	durationField("between_token_target", func(o *Overrides) *Duration { return o.BetweenTokenTarget }, func(c *Class) *time.Duration { return &c.BetweenTokenTarget }),
	durationField("deadline", func(o *Overrides) *Duration { return o.Deadline }, func(c *Class) *time.Duration { return &c.Deadline }),
	plainField("weight", func(o *Overrides) *float64 { return o.Weight }, func(c *Class) *float64 { return &c.Weight }, showFloat),
	plainField("floor_share", func(o *Overrides) *float64 { return o.FloorShare }, func(c *Class) *float64 { return &c.FloorShare }, showFloat),
	plainField("repeatable", func(o *Overrides) *bool { return o.Repeatable }, func(c *Class) *bool { return &c.Repeatable }, strconv.FormatBool),
	plainField("preemptible", func(o *Overrides) *bool { return o.Preemptible }, func(c *Class) *bool { return &c.Preemptible }, strconv.FormatBool),
	plainField("keep_answer", func(o *Overrides) *bool { return o.KeepAnswer }, func(c *Class) *bool { return &c.KeepAnswer }, strconv.FormatBool),
	plainField("attempts", func(o *Overrides) *int { return o.Attempts }, func(c *Class) *int { return &c.Attempts }, strconv.Itoa),
	limitField("requests_per_minute", func(l *LimitSet) *int { return l.RequestsPerMinute }, func(c *Class) *int { return &c.Limits.RequestsPerMinute }),
	limitField("tokens_per_minute", func(l *LimitSet) *int { return l.TokensPerMinute }, func(c *Class) *int { return &c.Limits.TokensPerMinute }),
	limitField("concurrency", func(l *LimitSet) *int { return l.Concurrency }, func(c *Class) *int { return &c.Limits.Concurrency }),
}

// lockName is the name under which a parent locks the field.
func (f field) lockName() string {
	name, _, _ := strings.Cut(f.name, ".")
	return name
}

// initialClass holds the values of fields that no node sets.
var initialClass = Class{
	FirstTokenTarget:   2 * time.Second,
	BetweenTokenTarget: 100 * time.Millisecond,
	Deadline:           5 * time.Minute,
	Weight:             1,
	FloorShare:         0.02,
	Attempts:           3,
}

// applyOverrides carries over what o sets.
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

// limitsOf returns the effective form of a set of limits.
func limitsOf(l LimitSet) Limits {
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

// capped returns the lower of each limit, where zero means none.
func (l Limits) capped(by Limits) Limits {
	return Limits{
		RequestsPerMinute: lower(l.RequestsPerMinute, by.RequestsPerMinute),
		TokensPerMinute:   lower(l.TokensPerMinute, by.TokensPerMinute),
		Concurrency:       lower(l.Concurrency, by.Concurrency),
	}
}

func lower(a, b int) int {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}
