package feasibility

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/membership"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
)

// fakeDataCentres implements Table for data centre a, with an engine of 100 usable bytes, and Peers for the instances of
// data centre b, which report an engine of 300 bytes. The map gives the fault of each instance of b.
type fakeDataCentres map[string]string

func (fakeDataCentres) All() []*membership.Entry {
	return []*membership.Entry{{ExpiresAt: time.Now().Add(time.Hour), Announcement: targetapi.Announcement{
		Target: "e1", Kind: targetapi.Engine, CapacityBytes: 120, ReserveBytes: 20}}}
}

func (f fakeDataCentres) Call(ctx context.Context, peer, _ string, _, result any) error {
	switch f[peer] {
	case "hangs":
		<-ctx.Done()
	case "down":
		return errors.New("unreachable")
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	*result.(*peerapi.EnginesResponse) = peerapi.EnginesResponse{Engines: []peerapi.Engine{{Name: "e2", CapacityBytes: 300}}}
	return nil
}

// Guards against a data centre that counts as unreachable because one of its instances does not respond, against a check
// without a time limit, and against findings that do not name the model and the missing bytes.
func TestCheckWithUnreachableInstances(t *testing.T) {
	for _, test := range []struct {
		name        string
		peers       fakeDataCentres
		bytes       int64
		feasible    bool
		maxDuration time.Duration
	}{
		{"all answer", fakeDataCentres{}, 250, true, 0},
		{"first down", fakeDataCentres{"b1": "down"}, 250, true, 0},
		{"first hangs", fakeDataCentres{"b1": "hangs"}, 250, true, peerTimeout},
		{"two hang", fakeDataCentres{"b1": "hangs", "b2": "hangs"}, 250, true, 2 * peerTimeout},
		{"all hang, fits here", fakeDataCentres{"b1": "hangs", "b2": "hangs", "b3": "hangs"}, 90, true, readTimeout},
		{"all hang, does not fit here", fakeDataCentres{"b1": "hangs", "b2": "hangs", "b3": "hangs"}, 250, false, readTimeout},
		{"fits nowhere", fakeDataCentres{}, 400, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &settings.Settings{DataCentre: "a", Peers: []settings.Peer{{Name: "a1", DataCentre: "a"}, {Name: "b1", DataCentre: "b"},
					{Name: "b2", DataCentre: "b"}, {Name: "b3", DataCentre: "b"}}}
				started := time.Now()
				findings, err := New(s, test.peers, test.peers, time.Now).Check(t.Context(), &catalog.ActiveConfig{Models: map[string]releasenote.Model{
					"net-assistant": {Name: "net-assistant", Version: "1", MemoryBytes: test.bytes, MinReplicas: 1}}})
				if err != nil {
					t.Fatal(err)
				}
				if took := time.Since(started); took > test.maxDuration {
					t.Errorf("the check took %v, want at most %v", took, test.maxDuration)
				}
				if (len(findings) == 0) != test.feasible {
					t.Errorf("feasible is %v, want %v; findings: %v", len(findings) == 0, test.feasible, findings)
				}
				for _, f := range findings {
					if !strings.Contains(f.Key+f.Message, "net-assistant") || !strings.Contains(f.Message, "bytes") {
						t.Errorf("finding %q does not name the model and the missing bytes", f)
					}
				}
			})
		})
	}
}
