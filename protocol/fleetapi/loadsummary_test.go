package fleetapi

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against packed loads that are decoded as other loads or for other targets.
func TestPackedTargetLoads(t *testing.T) {
	loads := []TargetLoad{{ID: "a", Running: 3, Unstarted: 1, PromptTokens: 70000, SlownessPercent: 130, FailurePenaltyMs: 400},
		{ID: "gone", Running: 9}, {ID: "b", Running: 1 << 20}}
	got, err := UnpackTargetLoads(PackTargetLoads(loads), []string{"b", "a", "idle"})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]TargetLoad{loads[0], loads[2]}, got); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a malformed summary that takes a gateway down.
func FuzzUnpackTargetLoads(f *testing.F) {
	f.Add(PackTargetLoads([]TargetLoad{{ID: "a", Running: 3, SlownessPercent: 130}}))
	f.Add([]byte("short"))
	f.Fuzz(func(t *testing.T, packed []byte) {
		loads, err := UnpackTargetLoads(packed, []string{"a", "b"})
		if err != nil && loads != nil {
			t.Fatalf("loads %+v together with error %v", loads, err)
		}
		for _, l := range loads {
			if l.Running < 0 || l.Unstarted < 0 || l.PromptTokens < 0 {
				t.Fatalf("negative load %+v", l)
			}
		}
	})
}

// Guards against a leader that hundreds of gateways keep busy with load reports, and against reports of a small
// deployment that become rarer.
func TestReportIntervalBoundsTheRateAtTheLeader(t *testing.T) {
	for _, gateways := range []int{0, 1, 6, 69, 294, 360} {
		interval := ReportInterval(gateways)
		if rate := float64(gateways) / interval.Seconds(); rate > 700 {
			t.Errorf("%d gateways send %.0f reports a second, at most 700 wanted", gateways, rate)
		}
		if gateways <= 66 && interval != 100*time.Millisecond {
			t.Errorf("%d gateways report every %v, want every 100ms", gateways, interval)
		}
	}
}
