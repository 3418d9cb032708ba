package main

import (
	"runtime/debug"
	"testing"
)

func TestRevision(t *testing.T) {
	commit := debug.BuildSetting{Key: "vcs.revision", Value: "0123abc"}
	other := debug.BuildSetting{Key: "GOOS", Value: "linux"}
	for want, settings := range map[string][]debug.BuildSetting{
		"unknown":         {other},
		"0123abc":         {other, commit, {Key: "vcs.modified", Value: "false"}},
		"0123abc+changes": {{Key: "vcs.modified", Value: "true"}, commit},
	} {
		if got := revisionOf(settings); got != want {
			t.Errorf("%v: got %q, want %q", settings, got, want)
		}
	}
}
