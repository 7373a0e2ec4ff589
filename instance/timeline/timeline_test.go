package timeline_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/timeline"
)

// Guards against a timeline that reorders the events of one instance when its clock is set back.
func TestMergeKeepsTheOrderOfEachInstance(t *testing.T) {
	a := []events.Record{{AtUs: 10, Sequence: 1, Instance: "a"}, {AtUs: 5, Sequence: 2, Instance: "a"}, {AtUs: 20, Sequence: 3, Instance: "a"}}
	b := []events.Record{{AtUs: 7, Sequence: 1, Instance: "b"}, {AtUs: 15, Sequence: 2, Instance: "b"}}
	var got []string
	for _, r := range timeline.Merge([][]events.Record{a, b}) {
		got = append(got, r.Instance+string(rune('0'+r.Sequence)))
	}
	if diff := cmp.Diff([]string{"b1", "a1", "a2", "b2", "a3"}, got); diff != "" {
		t.Error(diff)
	}
}
