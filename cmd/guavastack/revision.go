package main

import "runtime/debug"

const (
	unknownRevision  = "unknown"
	modifiedRevision = "+changes" // appended if the source had changes that were not committed
)

// revision returns the commit from which this binary was built, if the build recorded it.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownRevision
	}
	return revisionOf(info.Settings)
}

func revisionOf(settings []debug.BuildSetting) string {
	commit, suffix := unknownRevision, ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = modifiedRevision
		}
	}
	return commit + suffix
}
