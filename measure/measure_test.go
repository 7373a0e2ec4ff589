package measure

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func readSettings(t testing.TB) *Settings {
	t.Helper()
	data, err := os.ReadFile("settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, findings := ReadSettings("settings.toml", data)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	return s
}

// shorten reduces the settings to one deployment and one swing, so that a test takes seconds.
func shorten(s *Settings) {
	s.Run.Seconds, s.Run.WarmupSeconds = 40, 5
	s.Loss.AtSeconds, s.Loss.BackSeconds = 20, 30
	s.Swing.PeriodSeconds, s.Swing.PeakSeconds = 40, 15
	s.Deployments = s.Deployments[1:]
}

// Guards against results that cannot be reproduced, for example because of the iteration order of a map.
func TestTableDependsOnlyOnTheSeed(t *testing.T) {
	var first, second, other bytes.Buffer
	for _, run := range []struct {
		out  *bytes.Buffer
		seed uint64
	}{{&first, 1}, {&second, 1}, {&other, 2}} {
		s := readSettings(t)
		shorten(s)
		if err := Run(run.out, s, run.seed); err != nil {
			t.Fatal(err)
		}
	}
	if first.String() != second.String() {
		t.Errorf("two runs with seed 1 print different tables:\n%s\n%s", first.String(), second.String())
	}
	if first.String() == other.String() {
		t.Error("runs with seeds 1 and 2 print the same table")
	}
}

// Guards against policies that are compared on different workloads, because the randomness of a policy affects the
// arrivals, and against requests that never end or are counted twice.
func TestPoliciesGetTheSameRequests(t *testing.T) {
	s := readSettings(t)
	shorten(s)
	offered := -1
	for _, p := range Policies() {
		f := newFleet(s, &s.Deployments[0], p, scenario{name: steady}, 1)
		r := f.run()
		if offered >= 0 && r.all.offered != offered {
			t.Errorf("policy %s was offered %d requests, the policy before it %d", p.Name, r.all.offered, offered)
		}
		offered = r.all.offered
		for _, in := range f.instances {
			if len(in.open) > 0 {
				t.Errorf("policy %s has %d requests that did not end", p.Name, len(in.open))
			}
		}
	}
}

// Guards against unknown keys that are silently ignored and against values that cause a division by zero.
func TestReadSettingsReportsFindings(t *testing.T) {
	_, findings := ReadSettings("s.toml", []byte("[engine]\nslots = 0\nslot = 3\n"))
	text := findings.Error()
	for _, want := range []string{"s.toml:3: engine.slot: unknown key"} {
		if !strings.Contains(text, want) {
			t.Errorf("finding %q is missing in:\n%s", want, text)
		}
	}
	_, findings = ReadSettings("s.toml", []byte("[engine]\nslots = 0\n"))
	if text = findings.Error(); !strings.Contains(text, "s.toml:2: engine.slots: must be larger than 0") {
		t.Errorf("no finding for engine.slots = 0 in:\n%s", text)
	}
}

// Guards against a slow replica that does more or less work than its speed allows, for example at the edges of slow
// windows: full speed outside them and 1/Factor of it inside.
func TestCompletionTimeConservesWork(t *testing.T) {
	s := readSettings(t)
	rapid.Check(t, func(t *rapid.T) {
		r := &replica{f: &fleet{s: s}}
		at := time.Duration(0)
		for range rapid.IntRange(0, 5).Draw(t, "windows") {
			at += time.Duration(rapid.IntRange(1, 5000).Draw(t, "gapMs")) * time.Millisecond
			end := at + time.Duration(rapid.IntRange(1, 5000).Draw(t, "slowMs"))*time.Millisecond
			r.slowWindows = append(r.slowWindows, window{at, end})
			at = end
		}
		from := time.Duration(rapid.IntRange(0, 20000).Draw(t, "fromMs")) * time.Millisecond
		work := time.Duration(rapid.IntRange(0, 20000).Draw(t, "workMs")) * time.Millisecond
		end := r.completionTime(from, work)
		done := float64(end - from)
		for _, w := range r.slowWindows {
			if overlap := min(w.end, end) - max(w.start, from); overlap > 0 {
				done -= float64(overlap) * (1 - 1/s.Straggle.Factor)
			}
		}
		if diff := time.Duration(done) - work; diff < -time.Microsecond || diff > time.Microsecond {
			t.Fatalf("%v of %v work was done from %v to the end at %v", time.Duration(done), work, from, end)
		}
	})
}

// Guards against baseline placements that exceed the memory of a replica or leave a model without one, which would
// invalidate the comparison of model moves.
func TestPlacementsKeepEveryModel(t *testing.T) {
	s := readSettings(t)
	f := newFleet(s, &s.Deployments[0], Policies()[0], scenario{name: steady}, 1)
	rapid.Check(t, func(t *rapid.T) {
		demand := make(map[string]float64)
		for _, m := range f.models {
			demand[m] = float64(rapid.IntRange(0, 200).Draw(t, m))
		}
		in := f.placementInput(demand)
		for _, p := range []Placement{staticPlacement{}, &reactivePlacement{slots: s.Engine.Slots}} {
			counts := make(map[string]int)
			for _, r := range in.Replicas {
				models := p.Plan(in)[r.Name]
				if len(models) > r.Memory {
					t.Fatalf("%T places %d models on replica %s, more than its memory", p, len(models), r.Name)
				}
				for _, m := range models {
					counts[m]++
				}
			}
			for _, m := range in.Models {
				if counts[m] == 0 {
					t.Fatalf("%T leaves model %s without a replica", p, m)
				}
			}
		}
	})
}

// Guards against a weight store that loads models faster than LoadsPerSecond of the deployment.
func TestWeightStoreLimitsItsRate(t *testing.T) {
	s := readSettings(t)
	f := newFleet(s, &s.Deployments[0], Policies()[0], scenario{name: steady}, 1)
	r := f.replicas[0]
	r.residents = make(map[string]*resident)
	for _, m := range f.models {
		f.store.load(r, m)
	}
	f.runUntil(seconds(s.Placement.LoadSeconds) + time.Second)
	ready := 0
	for _, res := range r.residents {
		if res.ready {
			ready++
		}
	}
	if ready == 0 || ready > 4 {
		t.Fatalf("%d models were loaded in %v s and one more second, want 1 to 4 at 3 loads/s", ready, s.Placement.LoadSeconds)
	}
}
