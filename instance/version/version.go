// Package version holds the version of the binaries.
package version

import "runtime/debug"

// Number is the released version. The linker sets it with -X.
var Number = "0.1.0-dev"

// String returns the version, with the VCS revision if the build recorded it.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Number
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Number + " (" + s.Value + ")"
		}
	}
	return Number
}
