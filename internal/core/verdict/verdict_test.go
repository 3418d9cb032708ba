package verdict

import (
	"fmt"
	"testing"

	"github.com/juju/errors"
)

func TestOfFindsWrappedVerdict(t *testing.T) {
	notRun := New(NotRun, "queue_full", "queue of %d is full", 8)
	tests := []struct {
		name string
		err  error
		want Verdict
	}{
		{"plain error proves nothing", fmt.Errorf("connection reset"), MayHaveRun},
		{"direct", notRun, NotRun},
		{"wrapped by fmt", fmt.Errorf("submit: %w", notRun), NotRun},
		{"traced by juju", errors.Trace(notRun), NotRun},
		{"annotated by juju", errors.Annotate(notRun, "submit"), NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Of(tt.err); got != tt.want {
				t.Errorf("Of(%v) = %v, want %v", tt.err, got, tt.want)
			}
		})
	}
}

func TestMayRepeat(t *testing.T) {
	tests := []struct {
		verdict               Verdict
		repeatable, delivered bool
		want                  bool
	}{
		{NotRun, false, false, true},
		{NotRun, true, false, true},
		{MayHaveRun, false, false, false},
		{MayHaveRun, true, false, true},
		{MayHaveRun, true, true, false},
		{Ran, false, false, false},
		{Ran, true, true, false},
	}
	for _, tt := range tests {
		if got := tt.verdict.MayRepeat(tt.repeatable, tt.delivered); got != tt.want {
			t.Errorf("%v.MayRepeat(%v, %v) = %v, want %v", tt.verdict, tt.repeatable, tt.delivered, got, tt.want)
		}
	}
}

func TestParseInvertsString(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		got, err := Parse(v.String())
		if err != nil || got != v {
			t.Errorf("Parse(%q) = %v, %v, want the inverse of String", v.String(), got, err)
		}
	}
	if _, err := Parse("perhaps"); err == nil {
		t.Error("Parse accepted an unknown verdict")
	}
}
