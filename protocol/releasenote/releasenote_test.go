package releasenote_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
)

// Guards against a check that stops at the first finding or reports the wrong line.
func TestAllFindingsAreReportedWithTheirLine(t *testing.T) {
	text := `number = 0
[[model]]
action = "add"
name = "bad name"
memory_bytes = -1
priority = "urgent"

[[model]]
action = "replace"
name = "m"
version = "1"
memory_bytes = 1
callers = ["a"]
colour = "red"
`
	_, findings := releasenote.Parse("n.toml", []byte(text))
	var got []string
	for _, f := range findings {
		message := f.String()
		got = append(got, message[:min(len(message), 40)])
	}
	want := []string{
		"n.toml:1: number: must be larger than 0",
		"n.toml:2: model[0].version: missing",
		"n.toml:2: model[0].callers: missing: nob",
		"n.toml:4: model[0].name: \"bad name\" is n",
		"n.toml:5: model[0].memory_bytes: must be",
		"n.toml:6: model[0].priority: \"urgent\" is",
		"n.toml:9: model[1].action: \"replace\" is ",
		"n.toml:14: model.colour: unknown key",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against malformed, empty or oversized notes that crash the parser or are accepted without a finding.
func TestMalformedNotes(t *testing.T) {
	for name, text := range map[string]string{
		"empty":      "",
		"syntax":     "number = = 1",
		"wrong type": "number = \"one\"",
		"too large":  strings.Repeat("#", releasenote.MaxNoteBytes+1),
		"nothing":    "number = 1",
		"duplicate":  "number = 1\n[[caller]]\naction=\"add\"\nname=\"a\"\nweight=1\n[[caller]]\naction=\"add\"\nname=\"a\"\nweight=2\n",
	} {
		if _, findings := releasenote.Parse(name, []byte(text)); len(findings) == 0 {
			t.Errorf("%s: no finding", name)
		}
	}
}

// Guards against input that crashes the parser.
func FuzzParse(f *testing.F) {
	f.Add("number = 1\n[[model]]\nname = \"a\"")
	f.Add("[[model.x]]\n[model]\na.b.c = 1")
	f.Fuzz(func(_ *testing.T, text string) {
		releasenote.Parse("n.toml", []byte(text))
	})
}
