package membership

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

var start = time.Unix(1_700_000_000, 0)

func announce(t testing.TB, table *Table, now time.Time, a targetapi.Announcement) Change {
	t.Helper()
	change, err := table.Announce(now, a)
	if err != nil {
		t.Fatal(err)
	}
	return change
}

func exchangeFrames(t testing.TB, now time.Time, requester, peer *Table, limitBytes int) []Change {
	t.Helper()
	request, err := requester.PullRequest(now, limitBytes)
	if err != nil {
		t.Fatal(err)
	}
	merged, err := peer.Merge(now, 0, request)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := peer.Delta(now, limitBytes, merged.ContentRequests)
	if err != nil {
		t.Fatal(err)
	}
	if len(answer) > limitBytes {
		t.Fatalf("answer frame of %d bytes exceeds the limit of %d", len(answer), limitBytes)
	}
	merged, err = requester.Merge(now, 0, answer)
	if err != nil {
		t.Fatal(err)
	}
	return merged.Changes
}

// Guards against a wrong kind of change, in particular a replaced incarnation that is not reported as failed, and
// against an expired target that a late leaving announcement brings back.
func TestAnnounceReportsKindOfChange(t *testing.T) {
	table := NewTable(Options{DataCentre: "coulee-a"})
	leaving := engine("a", 3, 2, 1)
	leaving.Leaving = true
	old := engine("a", 2, 9, 0)
	old.Leaving = true
	steps := []struct {
		a      targetapi.Announcement
		kind   ChangeKind
		failed uint64
	}{
		{engine("a", 2, 1, 0), Added, 0}, {engine("a", 2, 1, 0), Unchanged, 0}, {engine("a", 2, 2, 0), Renewed, 0},
		{engine("a", 2, 3, 1), Updated, 0}, {engine("a", 2, 2, 0), Unchanged, 0}, {engine("a", 1, 9, 0), Unchanged, 0},
		{engine("a", 3, 1, 1), Replaced, 2}, {old, Unchanged, 0}, {leaving, StartedLeaving, 0}, {engine("a", 3, 3, 1), Renewed, 0},
		{engine("a", 4, 1, 1), Replaced, 3},
	}
	for i, step := range steps {
		change := announce(t, table, start, step.a)
		if change.Kind != step.kind || change.FailedIncarnation != step.failed {
			t.Errorf("step %d: kind %d, failed incarnation %d; want %d, %d",
				i, change.Kind, change.FailedIncarnation, step.kind, step.failed)
		}
	}
	if changes := table.Expire(start.Add(DefaultTargetLease)); len(changes) != 1 || changes[0].Kind != Expired {
		t.Errorf("Expire reported %v, want one change of kind Expired", changes)
	}
	if change := announce(t, table, start.Add(time.Minute), engine("a", 4, 2, 1)); change.Kind != Added {
		t.Errorf("return after expiry reported as kind %d, want Added", change.Kind)
	}
	if len(table.Replicas(start.Add(time.Minute), "m", "crew-0")) != 1 {
		t.Error("a target that returned after its expiry is not offered")
	}
	later := start.Add(2 * time.Minute)
	table.Expire(later)
	late := engine("a", 4, 1, 1)
	late.Leaving = true
	if change := announce(t, table, later, late); change.Kind != StartedLeaving || len(table.Expire(later)) != 0 || len(table.All()) != 0 {
		t.Errorf("late leaving of an expired target reported as kind %d, want StartedLeaving without a return to the table",
			change.Kind)
	}
}

// Guards against announcements of another data centre and truncated frames that are applied, and against a table that
// grows beyond MaxTargets or never removes expired targets.
func TestFullTableAndInvalidMessagesAreRefused(t *testing.T) {
	table := NewTable(Options{DataCentre: "coulee-a", MaxTargets: 1})
	announce(t, table, start, engine("a", 1, 1, 0))
	if _, err := table.Announce(start, engine("b", 1, 1, 0)); !errors.Is(err, ErrTableFull) {
		t.Errorf("second target in a table of one: %v, want ErrTableFull", err)
	}
	other := engine("a", 2, 1, 0)
	other.DataCentre = "ridge-b"
	if _, err := table.Announce(start, other); err == nil {
		t.Error("announcement of another data centre was accepted")
	}
	if _, err := table.Merge(start, 0, []byte{0x85, 1, 0}); err == nil {
		t.Error("truncated frame was accepted")
	}
	table.Expire(start.Add(time.Minute))
	table.Expire(start.Add(time.Hour))
	announce(t, table, start.Add(time.Hour), engine("b", 1, 1, 0))
}

// Guards against an instance that ignores a target's return to an earlier content, because the fingerprint of that
// content is marked as superseded.
func TestReturnToEarlierContent(t *testing.T) {
	x, y := NewTable(Options{}), NewTable(Options{})
	for i, adapters := range []int{0, 1, 0, 1} {
		announce(t, x, start, engine("a", 1, uint64(i+1), adapters))
		for range 3 {
			exchangeFrames(t, start, y, x, MinDeltaBytes)
		}
		if got := len(y.Replicas(start, "m", "crew-0")); got != adapters {
			t.Fatalf("step %d: %d replicas of the adapter, want %d", i, got, adapters)
		}
	}
}

// frameWithoutNewContents returns a frame after the new contents have been sent as often as they are sent without a
// request.
func frameWithoutNewContents(t *testing.T, table *Table, now time.Time) frame {
	t.Helper()
	var f frame
	for range unrequestedContentSends + 1 {
		data, err := table.Delta(now, MinDeltaBytes, nil)
		if err != nil {
			t.Fatal(err)
		}
		f = frame{}
		if err := cbor.Unmarshal(data, &f); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func mergeFrame(t *testing.T, table *Table, now time.Time, transit time.Duration, f frame) error {
	t.Helper()
	data, err := cbor.Marshal(&f)
	if err != nil {
		t.Fatal(err)
	}
	_, err = table.Merge(now, transit, data)
	return err
}

// Guards against a live target whose lease expires while its new content has not been received, and against renewals
// of the missing content that extend the lease twice or for a leaving target.
func TestRenewalBeforeContent(t *testing.T) {
	x, y := NewTable(Options{}), NewTable(Options{})
	announce(t, x, start, engine("a", 1, 1, 3))
	exchangeFrames(t, start, y, x, MinDeltaBytes)
	second := start.Add(time.Second)
	announce(t, x, second, engine("a", 1, 2, 4))
	f := frameWithoutNewContents(t, x, second)
	late := second.Add(time.Second)
	expect := func(sequence uint64) {
		t.Helper()
		entry, _ := y.Target("a")
		if !entry.ReceivedAt.Equal(second) || entry.Announcement.Sequence != sequence {
			t.Fatalf("entry has sequence %d, received %v after the start",
				entry.Announcement.Sequence, entry.ReceivedAt.Sub(start))
		}
	}
	for _, transit := range []time.Duration{0, 10 * time.Millisecond} {
		if err := mergeFrame(t, y, second, transit, f); err != nil {
			t.Fatal(err)
		}
		expect(1)
	}
	announce(t, y, late, engine("a", 1, 2, 4)) // a copy that the load balancer delivered to this instance too
	expect(2)
	leaving := engine("a", 1, 3, 4)
	leaving.Leaving = true
	announce(t, x, late, leaving)
	f = frameWithoutNewContents(t, x, late)
	f.Leaving = nil // simulates a lost leaving notice
	if err := mergeFrame(t, y, late, 0, f); err != nil {
		t.Fatal(err)
	}
	expect(2)
}

// Guards against a content difference that is applied although it is invalid or its result does not match the
// announced fingerprint.
func TestInvalidContentDiffIsRefused(t *testing.T) {
	table := NewTable(Options{})
	announce(t, table, start, engine("a", 1, 1, 3))
	entry, _ := table.Target("a")
	for _, d := range []contentDiff{{Removed: []int{0}}, {Removed: []int{9}}, {Added: []cbor.RawMessage{{0x80}}}} {
		d.Fingerprint, d.Previous = 1, entry.fingerprint
		item, err := cbor.Marshal(&d)
		if err != nil {
			t.Fatal(err)
		}
		if mergeFrame(t, table, start, 0, frame{Version: gossipVersion, Diffs: []cbor.RawMessage{item}}) == nil {
			t.Errorf("invalid content difference %+v was accepted", d)
		}
	}
}

// Guards against a leaving target that other instances keep offering because newer changes fill the frames before its
// leaving notice.
func TestLeavingTravelsFirst(t *testing.T) {
	x, y := NewTable(Options{}), NewTable(Options{})
	for i := range 300 {
		announce(t, x, start, engine(fmt.Sprintf("t%d", i), 1, 1, 5))
		announce(t, y, start, engine(fmt.Sprintf("t%d", i), 1, 1, 5))
	}
	a := engine("t7", 1, 2, 5)
	a.Leaving = true
	announce(t, x, start, a)
	for i := range 100 { // newer changes must not delay the notice
		announce(t, x, start, engine(fmt.Sprintf("t%d", i+100), 1, 2, 6))
	}
	changes := exchangeFrames(t, start, y, x, MinDeltaBytes)
	if len(changes) == 0 || changes[0].Kind != StartedLeaving || y.IncarnationUsable(start, "t7", 1) || !y.IncarnationUsable(start, "t8", 1) {
		t.Fatalf("changes of the first frame after a target began to leave: %v, want the leaving of t7 first", changes)
	}
}

// Guards against entries that are never sent, because their content is larger than a frame or because more targets
// change than fit into one.
func TestEveryEntryIsEventuallySent(t *testing.T) {
	x, y := NewTable(Options{}), NewTable(Options{})
	const want = 300
	send := func(now time.Time, i int, sequence uint64) {
		adapters := 3
		if i%50 == 0 {
			adapters = 400
		}
		announce(t, x, now, engine(fmt.Sprintf("t%d", i), 1, sequence, adapters))
	}
	for i := range want {
		send(start, i, 1)
	}
	rounds := 0
	for ; len(y.All()) < want && rounds < 400; rounds++ {
		exchangeFrames(t, start, y, x, 4096)
	}
	if len(y.All()) != want {
		t.Fatalf("%d of %d targets known after %d rounds", len(y.All()), want, rounds)
	}
	t.Logf("300 targets known after %d frames of 4096 bytes", rounds)
	now := start.Add(time.Second)
	for i := range want {
		send(now, i, 2)
	}
	for round := range 40 { // each renewal is sent although 100 others are always newer
		for i := range 100 {
			send(now.Add(time.Duration(round)*time.Millisecond), i, uint64(3+round))
		}
		exchangeFrames(t, now, y, x, 4096)
	}
	for _, entry := range y.All() {
		if entry.Announcement.Sequence < 2 {
			t.Fatalf("renewal of %s was not sent within 40 rounds", entry.Announcement.Target)
		}
	}
}

// Guards against summaries that count targets which other data centres cannot use, or that are used after their
// lifetime, also when they are relayed back.
func TestSummariesCountUsableTargetsAndExpire(t *testing.T) {
	coulee, ridge, slough := NewTable(Options{DataCentre: "coulee-a"}), NewTable(Options{DataCentre: "ridge-b"}), NewTable(Options{DataCentre: "ridge-b"})
	announce(t, coulee, start, engine("a", 1, 1, 1))
	announce(t, coulee, start, engine("b", 1, 1, 0))
	leaving := engine("c", 1, 1, 0)
	leaving.Leaving = true
	announce(t, coulee, start, leaving)
	relay := func(now time.Time, from, to *Table) {
		t.Helper()
		data, err := from.Summaries(now, MinDeltaBytes, true)
		if err == nil {
			err = to.MergeSummaries(now, 0, data)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	relay(start, coulee, ridge)
	relay(start.Add(time.Second), ridge, slough)
	want := []ModelSummary{{DataCentre: "coulee-a", Name: "m", Ready: 2, FreeWork: 14, Leaving: 1, AgeMs: 2000}}
	if diff := cmp.Diff(want, slough.RemoteReplicas(start.Add(2*time.Second), "m", "")); diff != "" {
		t.Error(diff)
	}
	relay(start.Add(11*time.Second), slough, ridge)
	for _, table := range []*Table{ridge, slough} {
		if got := table.RemoteReplicas(start.Add(12*time.Second), "m", ""); len(got) != 0 {
			t.Errorf("summaries returned after their lifetime: %v", got)
		}
	}
}

// Guards against data races and lost index entries under concurrent use.
func TestConcurrentUse(t *testing.T) {
	x, y := NewTable(Options{}), NewTable(Options{})
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for i := range 300 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				announce(t, x, now, engine(fmt.Sprintf("t%d", random.IntN(20)), 1+uint64(i/100), uint64(i+1), i%3))
				x.Sample(now, random, 4, "m", "crew-0")
				if i%20 == worker {
					exchangeFrames(t, now, y, x, 4096)
					x.Expire(now)
				}
			}
		})
	}
	wg.Wait()
	now := start.Add(time.Second)
	offered := 0
	for _, entry := range x.All() {
		if entry.Ready("m", "crew-0") {
			offered++
		}
	}
	if got := len(x.Replicas(now, "m", "crew-0")); got != offered {
		t.Fatalf("index returns %d of the %d targets with the adapter", got, offered)
	}
}

func BenchmarkTable(b *testing.B) {
	for _, size := range []int{20, 200, 860} {
		table := NewTable(Options{})
		list := make([]targetapi.Announcement, size)
		for i := range list {
			list[i] = engine(fmt.Sprintf("net-assistant-%d", i), 1, 1, 6)
			announce(b, table, start, list[i])
		}
		random := rand.New(rand.NewPCG(1, 2))
		b.Run(fmt.Sprintf("Sample8/targets=%d", size), func(b *testing.B) {
			for b.Loop() {
				table.Sample(start, random, 8, "m", "")
			}
		})
		b.Run(fmt.Sprintf("Announce/targets=%d", size), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				a := &list[i%size]
				a.Sequence++
				announce(b, table, start, *a)
			}
		})
		b.Run(fmt.Sprintf("Delta4096/targets=%d", size), func(b *testing.B) {
			for b.Loop() {
				if _, err := table.Delta(start, 4096, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
