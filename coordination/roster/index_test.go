package roster

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against an index that finds other targets than a search of all of them.
func TestIndexAgreesWithSearch(t *testing.T) {
	name := func(prefix string) *rapid.Generator[string] {
		return rapid.Map(rapid.IntRange(0, 3), func(n int) string { return fmt.Sprint(prefix, n) })
	}
	rapid.Check(t, func(rt *rapid.T) {
		entries := make([]Entry, rapid.IntRange(0, 8).Draw(rt, "targets"))
		for i := range entries {
			entries[i].ID, entries[i].Service = fmt.Sprint("t", i), name("s").Draw(rt, "service")
			entries[i].State = State(rapid.IntRange(0, 2).Draw(rt, "state"))
			for _, model := range rapid.SliceOfN(name("m"), 0, 3).Draw(rt, "models") {
				entries[i].Models = append(entries[i].Models, Held{Model: model})
			}
		}
		index := NewIndex(entries)
		service, model := name("s").Draw(rt, "wanted service"), rapid.SampledFrom([]string{"", "m0", "m1"}).Draw(rt, "wanted model")
		var want []string
		for i := range entries {
			if e := &entries[i]; e.Service == service && e.State == Ready && (model == "" || e.HeldModel(model) != nil) {
				want = append(want, e.ID)
			}
		}
		var got []string
		for _, e := range index.Holding(service, model) {
			got = append(got, e.ID)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			rt.Fatal(diff)
		}
		if ready := index.Ready(service); len(got) > len(ready) || slices.ContainsFunc(ready, func(e *Entry) bool { return e.State != Ready || e.Service != service }) {
			rt.Fatalf("ready targets %v", ready)
		}
	})
}
