package main

import (
	"fmt"
	"runtime/debug"
)

// versionText returns the version and the commit recorded in the binary. A
// binary built outside a checkout has no commit.
func versionText() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "ibisstall, version unknown"
	}
	commit, modified := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = " (with local changes)"
		}
	}
	return fmt.Sprintf("ibisstall %s, commit %s%s, %s", info.Main.Version, commit, modified, info.GoVersion)
}
