// Package capacity measures how state, messages and processor time grow with the size of a deployment.
// docs/CAPACITY.md is based on the slopes.
package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/coordination/membership"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
)

// Sizes of a current deployment, of one data centre of the planned deployment, and of the whole planned deployment.
var (
	targetSizes = []int{24, 143, 860}
	modelSizes  = []int{17, 34, 500}
	callerSizes = []int{10, 100, 1000}
)

const maxFrameBytes = 4 << 10

var startTime = time.Unix(1_800_000_000, 0)

func targetAnnouncement(i, residents int, sequence uint64) targetapi.Announcement {
	a := targetapi.Announcement{
		Version: targetapi.Version, Target: fmt.Sprintf("engine-%04d", i), Incarnation: 1_800_000_000_000_000_000 + uint64(i),
		Sequence: sequence, DataCentre: "a", FailureDomain: fmt.Sprintf("rack-%d", i%20), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
		Kind: targetapi.Engine, CapacityBytes: 640 << 30, ReserveBytes: 64 << 30, Slots: 64, ChecksFencing: true,
		Load: targetapi.LoadReport{MeasuredAtMs: startTime.UnixMilli() + int64(sequence)*1000, Running: 30 + i%7, Queued: i % 3},
	}
	for r := range residents {
		a.Residents = append(a.Residents, targetapi.Resident{
			Model: fmt.Sprintf("model-%d", (i+r*7)%500), Version: "1", State: targetapi.Ready, Bytes: 80 << 30})
	}
	return a
}

func announceTargets(b *testing.B, table *membership.Table, targets int, now time.Time, sequence uint64) {
	b.Helper()
	for i := range targets {
		if _, err := table.Announce(now, targetAnnouncement(i, 4, sequence)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkGossip measures one gossip exchange in steady state: the bytes of its frames, the targets that it renews and
// its cost on both sides.
func BenchmarkGossip(b *testing.B) {
	for _, targets := range targetSizes {
		b.Run("targets="+strconv.Itoa(targets), func(b *testing.B) {
			sender := membership.NewTable(membership.Options{DataCentre: "a"})
			receiver := membership.NewTable(membership.Options{DataCentre: "a"})
			now, sequence := startTime, uint64(1)
			announceTargets(b, sender, targets, now, sequence)
			announceTargets(b, receiver, targets, now, sequence)
			for range 200 { // until all new entries have been sent in full
				exchangeGossip(b, sender, receiver, now)
			}
			b.ReportAllocs()
			b.ResetTimer()
			bytes, renewed := 0, 0
			for range b.N {
				b.StopTimer()
				now, sequence = now.Add(time.Second), sequence+1
				announceTargets(b, sender, targets, now, sequence)
				b.StartTimer()
				n, changes := exchangeGossip(b, sender, receiver, now)
				bytes, renewed = bytes+n, renewed+changes
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "frame-bytes/op")
			b.ReportMetric(float64(renewed)/float64(b.N), "renewed-targets/op")
		})
	}
}

func exchangeGossip(b *testing.B, sender, receiver *membership.Table, now time.Time) (bytes, renewed int) {
	pull, err := receiver.PullRequest(now, maxFrameBytes)
	if err != nil {
		b.Fatal(err)
	}
	merged, err := sender.Merge(now, 0, pull)
	if err != nil {
		b.Fatal(err)
	}
	delta, err := sender.Delta(now, maxFrameBytes, merged.ContentRequests)
	if err != nil {
		b.Fatal(err)
	}
	result, err := receiver.Merge(now, 0, delta)
	if err != nil {
		b.Fatal(err)
	}
	return len(pull) + len(delta), len(result.Changes)
}

// BenchmarkSummaries measures the model summaries that a data centre sends to the others.
func BenchmarkSummaries(b *testing.B) {
	for _, targets := range targetSizes {
		b.Run("targets="+strconv.Itoa(targets), func(b *testing.B) {
			table := membership.NewTable(membership.Options{DataCentre: "a"})
			announceTargets(b, table, targets, startTime, 1)
			b.ReportAllocs()
			bytes := 0
			for range b.N {
				data, err := table.Summaries(startTime, maxFrameBytes, false)
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(data)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "frame-bytes/op")
		})
	}
}

// BenchmarkTargetState measures the heap that one target occupies in the membership table.
func BenchmarkTargetState(b *testing.B) {
	for _, targets := range targetSizes {
		b.Run("targets="+strconv.Itoa(targets), func(b *testing.B) {
			for range b.N {
				var table *membership.Table
				used := heapGrowth(func() {
					table = membership.NewTable(membership.Options{DataCentre: "a"})
					announceTargets(b, table, targets, startTime, 1)
				})
				b.ReportMetric(float64(used)/float64(targets), "heap-bytes/target")
				runtime.KeepAlive(table)
			}
		})
	}
}

func heapGrowth(allocate func()) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	allocate()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if after.HeapAlloc < before.HeapAlloc {
		return 0
	}
	return after.HeapAlloc - before.HeapAlloc
}

func changedModel(i int) releasenote.Model {
	return releasenote.Model{
		Action: releasenote.Change, Name: fmt.Sprintf("model-%d", i), Version: "1", MemoryBytes: 80 << 30, Priority: releasenote.Standard,
		Callers: []string{"caller-1", "caller-2", "caller-3"}, MinReplicas: 1,
	}
}

func encodeSubmission(b *testing.B, note releasenote.Note) []byte {
	b.Helper()
	data, err := cbor.Marshal(catalog.Submission{Note: note, Digest: releasenote.Digest([]byte(note.Description)), Operator: "operator", AtMs: startTime.UnixMilli()})
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func catalogWithModels(b *testing.B, models int) *catalog.Machine {
	b.Helper()
	machine := catalog.New()
	note := releasenote.Note{Number: 1}
	for i := range models {
		m := changedModel(i)
		m.Action = releasenote.Add
		note.Models = append(note.Models, m)
	}
	if _, err := machine.Apply(1, encodeSubmission(b, note)); err != nil {
		b.Fatal(err)
	}
	return machine
}

// BenchmarkCatalogApply measures one release note that changes one model: its bytes in the log and the time to apply it.
func BenchmarkCatalogApply(b *testing.B) {
	for _, models := range modelSizes {
		b.Run("models="+strconv.Itoa(models), func(b *testing.B) {
			machine := catalogWithModels(b, models)
			b.ReportAllocs()
			bytes := 0
			for i := range b.N {
				data := encodeSubmission(b, releasenote.Note{Number: uint64(i + 2), Description: strconv.Itoa(i), Models: []releasenote.Model{changedModel(i % models)}})
				bytes += len(data)
				if _, err := machine.Apply(uint64(i+2), data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "command-bytes/op")
		})
	}
}

// BenchmarkCatalogState measures the heap and the snapshot size of the catalogue after 100 to 10,000 release notes.
func BenchmarkCatalogState(b *testing.B) {
	for _, notes := range []int{100, 1000, 10000} {
		b.Run("notes="+strconv.Itoa(notes), func(b *testing.B) {
			for range b.N {
				var machine *catalog.Machine
				used := heapGrowth(func() {
					machine = catalogWithModels(b, 500)
					for i := range notes {
						data := encodeSubmission(b, releasenote.Note{Number: uint64(i + 2), Description: strconv.Itoa(i), Models: []releasenote.Model{changedModel(i % 500)}})
						if _, err := machine.Apply(uint64(i+2), data); err != nil {
							b.Fatal(err)
						}
					}
				})
				snapshot, err := machine.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(used), "heap-bytes")
				b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
			}
		})
	}
}

// BenchmarkUsageReport measures the usage report that admission controllers of a data centre send to each other.
func BenchmarkUsageReport(b *testing.B) {
	for _, callers := range callerSizes {
		b.Run("callers="+strconv.Itoa(callers), func(b *testing.B) {
			now := startTime
			sender, receiver := admission.New(now, admission.Options{Instance: "a1", Incarnation: 1}), admission.New(now, admission.Options{Instance: "a2", Incarnation: 1})
			for i := range 83 { // the models that are busy at the same time in one data centre of the planned deployment
				sender.SetCapacity(now, fmt.Sprintf("model-%d", i), admission.Capacity{Slots: 1e6, Instances: 60})
			}
			b.ReportAllocs()
			bytes := 0
			for range b.N {
				b.StopTimer()
				now = now.Add(500 * time.Millisecond)
				runRequests(b, sender, now, callers)
				b.StartTimer()
				report := sender.Usage(now)
				data, err := json.Marshal(report)
				if err != nil {
					b.Fatal(err)
				}
				receiver.MergeUsage(now, report)
				bytes += len(data)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "report-bytes/op")
		})
	}
}

// runRequests starts one request of each caller and completes four of five.
func runRequests(b *testing.B, c *admission.Controller, now time.Time, callers int) {
	b.Helper()
	for i := range callers {
		d := c.Submit(now, admission.Request{
			ID: "r", Caller: fmt.Sprintf("caller-%d", i), Weight: 1, Model: fmt.Sprintf("model-%d", i%83),
			Priority: releasenote.Standard, PromptTokens: 500, TokenLimit: 300, Deadline: now.Add(time.Minute)})
		if d.Action == admission.Admit && i%5 != 0 { // one of five still runs at the time of the report
			c.Done(now, admission.Completion{Ticket: d.Ticket, Answered: true, OutputTokens: 300, ServiceTime: 9 * time.Second})
		}
	}
}
