package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tarragonhoist/tarragonhoist/protocol/dialect"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// Guards against adapters that are evicted in the middle of a long stream because only its start was reported, and
// against adapters that are still reported as used after the last request has ended.
func TestAdaptersAreReportedWhileInUse(t *testing.T) {
	d := newDemand()
	q := &request{service: &routes.Service{Name: "s"}, prompt: dialect.Prompt{Model: "m", Adapter: "a1"}}
	want := []fleetapi.AdapterUse{{ID: "t0", Model: "m", Adapter: "a1"}}
	d.addRunning(q, "t0", 1)
	d.addRunning(q, "t0", 1)
	d.addRunning(q, "t0", -1)
	for range 3 {
		if _, got := d.takeReport(); !cmp.Equal(got, want) {
			t.Fatalf("adapters in use %v while a request runs, want %v", got, want)
		}
	}
	d.addRunning(q, "t0", -1)
	if _, got := d.takeReport(); !cmp.Equal(got, want) {
		t.Fatalf("adapters in use %v in the first report after the last request, want %v", got, want)
	}
	if _, got := d.takeReport(); len(got) != 0 {
		t.Fatalf("adapters in use %v in the second report after the last request, want none", got)
	}
}
