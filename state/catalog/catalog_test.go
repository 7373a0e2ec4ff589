package catalog_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
)

func submit(t *testing.T, m *catalog.Machine, index uint64, operator, text string, findings ...tomlfile.Finding) catalog.Verdict {
	t.Helper()
	note, parse := releasenote.Parse("note.toml", []byte(text))
	if len(parse) > 0 {
		t.Fatal(parse)
	}
	command, err := cbor.Marshal(catalog.Submission{
		Note: *note, Digest: releasenote.Digest([]byte(text)), Operator: operator, Findings: findings,
	})
	if err != nil {
		t.Fatal(err)
	}
	result, err := m.Apply(index, command)
	if err != nil {
		t.Fatal(err)
	}
	verdict, err := catalog.DecodeVerdict(result)
	if err != nil {
		t.Fatal(err)
	}
	return verdict
}

const addModel = `
number = 1
[[model]]
action = "add"
name = "net-assistant"
version = "1"
memory_bytes = 10
callers = ["crew"]
`

const otherModel = `
number = 1
[[model]]
action = "add"
name = "haul-notes"
version = "1"
memory_bytes = 10
callers = ["crew"]
`

// Guards against a verdict that changes when an operator resubmits a note after a lost response, or when two operators
// submit different notes with the same number.
func TestFirstSubmissionHoldsNumber(t *testing.T) {
	infeasible := tomlfile.Finding{Key: "model[0].memory_bytes", Message: "8 bytes are missing"}
	for _, test := range []struct {
		name  string
		first []tomlfile.Finding
	}{
		{"first accepted", nil},
		{"first refused", []tomlfile.Finding{infeasible}},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := catalog.New()
			first := submit(t, m, 1, "ana", addModel, test.first...)
			if first.Accepted != (len(test.first) == 0) {
				t.Fatalf("first verdict %+v does not match the findings of its submission", first)
			}
			if diff := cmp.Diff(first, submit(t, m, 2, "ben", addModel)); diff != "" {
				t.Errorf("resubmission of the same content got another verdict:\n%s", diff)
			}
			other := submit(t, m, 3, "ben", otherModel)
			if other.Accepted || !strings.Contains(other.Findings[0].Message, `"ana"`) {
				t.Errorf("verdict on other content with the same number: %+v, want refused with the name of the first operator", other)
			}
			if _, ok := m.Contents().Models["haul-notes"]; ok {
				t.Error("a refused note added its model to the active configuration")
			}
		})
	}
}

// Guards against accepted notes that leave an adapter without its model, add an active item again or withdraw an unknown
// one.
func TestConflictingNotesAreRefused(t *testing.T) {
	m := catalog.New()
	submit(t, m, 1, "ana", addModel+"[[adapter]]\naction=\"add\"\nname=\"north\"\nmodel=\"net-assistant\"\nversion=\"1\"\nmemory_bytes=1\n")
	for _, test := range []struct{ name, text, want string }{
		{"add twice", strings.Replace(addModel, "number = 1", "number = 2", 1), "in force already"},
		{"withdraw unknown", "number=3\n[[model]]\naction=\"withdraw\"\nname=\"none\"\n", "not in force"},
		{"withdraw with adapter", "number=4\n[[model]]\naction=\"withdraw\"\nname=\"net-assistant\"\n", "still in force"},
		{"adapter without model", "number=5\n[[adapter]]\naction=\"add\"\nname=\"a\"\nmodel=\"none\"\nversion=\"1\"\nmemory_bytes=1\n", "is not in force"},
	} {
		t.Run(test.name, func(t *testing.T) {
			verdict := submit(t, m, 10, "ana", test.text)
			if verdict.Accepted || !strings.Contains(verdict.Findings[0].Message, test.want) {
				t.Errorf("got %+v, want a finding with %q", verdict, test.want)
			}
		})
	}
}

// Guards against state that is missing from a snapshot: a replica that is restored from one must give the same verdicts.
func TestSnapshotKeepsVerdictsAndContents(t *testing.T) {
	m := catalog.New()
	first := submit(t, m, 1, "ana", addModel)
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := catalog.New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m.Contents(), restored.Contents()); diff != "" {
		t.Errorf("contents after restore:\n%s", diff)
	}
	if diff := cmp.Diff(first, submit(t, restored, 2, "ana", addModel)); diff != "" {
		t.Errorf("verdict after restore:\n%s", diff)
	}
}

// Guards against callers that reach a model, adapter or service they are not permitted to use.
func TestPermissions(t *testing.T) {
	m := catalog.New()
	submit(t, m, 1, "ana", addModel+`
caller_priorities = { crew = "interactive" }
[[adapter]]
action = "add"
name = "north"
model = "net-assistant"
version = "1"
memory_bytes = 1
callers = ["desk"]
[[service]]
action = "add"
name = "haul-desk"
callers = ["desk"]
`)
	for _, test := range []struct {
		caller, model, adapter string
		want                   api.Reason
	}{
		{"crew", "net-assistant", "", ""},
		{"desk", "net-assistant", "", api.ReasonCallerNotPermitted},
		{"desk", "net-assistant", "north", ""},
		{"crew", "net-assistant", "south", api.ReasonUnknownAdapter},
		{"crew", "none", "", api.ReasonUnknownModel},
	} {
		permission, result := m.Contents().PermitModel(test.caller, test.model, test.adapter)
		if result != nil && result.Reason != test.want || result == nil && test.want != "" {
			t.Errorf("%+v: got result %v", test, result)
		}
		if test.caller == "crew" && test.want == "" && permission.Priority != releasenote.Interactive {
			t.Errorf("%+v: priority %q, want interactive", test, permission.Priority)
		}
	}
	if _, nonIdempotent, result := m.Contents().PermitService("desk", "haul-desk", "POST"); result != nil || !nonIdempotent {
		t.Errorf("POST to a permitted service: non-idempotent %t, result %v; want true and nil", nonIdempotent, result)
	}
}

// Guards against a history that grows without limit, and against a restored machine that evicts other verdicts than the
// original. Notes are numbered in descending order, so that log order and number order differ.
func TestHistoryIsBounded(t *testing.T) {
	m := catalog.NewWithLimit(3)
	for n := 1; n <= 5; n++ {
		submit(t, m, uint64(n), "ana", strings.Replace(strings.Replace(addModel, "number = 1", fmt.Sprintf("number = %d", 10-n), 1), "net-assistant", fmt.Sprintf("m%d", n), 1))
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := catalog.NewWithLimit(3)
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for _, machine := range []*catalog.Machine{m, restored} {
		submit(t, machine, 6, "ana", strings.Replace(strings.Replace(addModel, "number = 1", "number = 20", 1), "net-assistant", "m6", 1))
		var numbers []uint64
		for _, v := range machine.History() {
			numbers = append(numbers, v.Number)
		}
		if diff := cmp.Diff([]uint64{6, 5, 20}, numbers); diff != "" {
			t.Errorf("note numbers in the history:\n%s", diff)
		}
	}
}
