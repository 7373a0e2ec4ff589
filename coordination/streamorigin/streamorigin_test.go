package streamorigin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v1    = Origin{Service: "s", SoftwareVersion: "v1"}
	v2    = Origin{Service: "s", SoftwareVersion: "v2"}
)

// Guards against streams that go on at a version after their caller has used a request id twice, and against records that
// stay for good.
func TestTable(t *testing.T) {
	table := NewTable()
	table.Put(Record{Stream: IDOf("once"), Origin: v1, ExpiresAt: start.Add(time.Second)})
	table.Put(Record{Stream: IDOf("reported twice"), Origin: v1, ExpiresAt: start.Add(time.Second)})
	table.Put(Record{Stream: IDOf("reported twice"), Origin: v1, ExpiresAt: start.Add(3 * time.Second)})
	table.Put(Record{Stream: IDOf("two versions"), Origin: v1, ExpiresAt: start.Add(time.Second)})
	table.Put(Record{Stream: IDOf("two versions"), Origin: v2, ExpiresAt: start.Add(time.Second)})
	for _, c := range []struct {
		attempt string
		after   time.Duration
		want    bool
	}{
		{"once", 0, true}, {"once", time.Second, false}, {"reported twice", 2 * time.Second, true},
		{"two versions", 0, false}, {"never", 0, false},
	} {
		origin, ok := table.Get(start.Add(c.after), IDOf(c.attempt))
		if ok != c.want || ok && origin != v1 {
			t.Errorf("%s after %v: %v, %v; want v1: %v", c.attempt, c.after, origin, ok, c.want)
		}
	}
}

// Guards against records that are passed on twice or never, and against a journal that grows without end.
func TestJournal(t *testing.T) {
	j := NewJournal()
	add := func(i int, life time.Duration) {
		j.Add(Record{Stream: IDOf(fmt.Sprint(i)), Origin: v1, ExpiresAt: start.Add(life)})
	}
	streams := func(records []Record) (ids []ID) {
		for _, r := range records {
			ids = append(ids, r.Stream)
		}
		return ids
	}
	add(0, time.Second)
	add(1, 3*time.Second)
	add(2, time.Second)
	add(3, 3*time.Second)
	records, next, _ := j.Since(start, 0, 2)
	if diff := cmp.Diff([]ID{IDOf("0"), IDOf("1")}, streams(records)); diff != "" {
		t.Error(diff)
	}
	records, next, added := j.Since(start, next, 10)
	if diff := cmp.Diff([]ID{IDOf("2"), IDOf("3")}, streams(records)); diff != "" {
		t.Error(diff)
	}
	select {
	case <-added:
		t.Error("woken without a record")
	default:
	}
	add(4, 3*time.Second)
	<-added
	if records, _, _ := j.Since(start, next, 10); !cmp.Equal([]ID{IDOf("4")}, streams(records)) {
		t.Errorf("got %v after the latest record", records)
	}
	// From the start, as for a control instance that has restarted: only what callers may still take up.
	if records, _, _ := j.Since(start.Add(2*time.Second), 0, 10); !cmp.Equal([]ID{IDOf("1"), IDOf("3"), IDOf("4")}, streams(records)) {
		t.Errorf("got %v from the start", records)
	}
	for i := range 2 * maxJournal {
		add(i, time.Hour)
	}
	if len(j.records) > maxJournal {
		t.Errorf("the journal holds %d records", len(j.records))
	}
}

// Guards against a version that is forgotten while streams that began at it may be taken up, or before the observation started.
func TestVersionsOfService(t *testing.T) {
	v := NewVersions(start)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	require := func(d time.Duration, wantComplete bool, want ...string) {
		t.Helper()
		versions, complete := v.Of(at(d), "s")
		slices.Sort(versions)
		if !slices.Equal(versions, want) || complete != wantComplete {
			t.Errorf("after %v: %v, complete: %v; want %v, %v", d, versions, complete, want, wantComplete)
		}
	}
	v.Observe(at(0), v1)
	v.Observe(at(0), Origin{"other", "v7"})
	require(MinLife-time.Second, false, "v1")
	v.Observe(at(MinLife), v1)
	require(MinLife, false, "v1")
	require(MinLife+time.Millisecond, true, "v1")
	v.Observe(at(MinLife+time.Second), v2)
	v.Forget(at(2 * MinLife))
	require(2*MinLife, true, "v1", "v2")
	v.Forget(at(2*MinLife + time.Second))
	require(2*MinLife+time.Second, true, "v2")
	v.ExtendLife(at(2*MinLife+time.Second), 2*MinLife)
	require(2*MinLife+2*time.Second, false, "v2") // what left more than MinLife ago is forgotten
	v.Observe(at(3*MinLife), v2)
	require(3*MinLife+2*time.Second, true, "v2")
	if n := len(v.seenAt); n != 1 {
		t.Errorf("%d versions are remembered, want 1", n)
	}
}

// Guards against streams that can't be taken up for a minute after the first start of a deployment, or after a restart with the
// history of the process before, and against a history that counts as complete although the life of streams has grown since.
func TestVersionHistoryOutlivesProcess(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	v := NewVersions(start)
	v.StartComplete()
	v.Observe(start, v1)
	v.ExtendLife(at(time.Second), 2*MinLife) // nothing was forgotten yet
	h := v.History(at(time.Second))
	if diff := cmp.Diff(VersionHistory{Versions: []Origin{v1}, Complete: true, Life: 2 * MinLife}, h); diff != "" {
		t.Error(diff)
	}
	restarted := NewVersions(at(time.Hour))
	restarted.Restore(at(time.Hour), h)
	if versions, complete := restarted.Of(at(time.Hour), "s"); !complete || !slices.Equal(versions, []string{"v1"}) {
		t.Errorf("after a restart: %v, complete: %v", versions, complete)
	}
	if !restarted.History(at(time.Hour)).Equal(h) {
		t.Error("the history changes by a restart")
	}
	restarted.ExtendLife(at(time.Hour), 3*MinLife)
	if _, complete := restarted.Of(at(time.Hour), "s"); complete {
		t.Error("complete although older versions may have been forgotten before the restart")
	}
	incomplete := NewVersions(at(time.Hour))
	incomplete.Restore(at(time.Hour), VersionHistory{Versions: []Origin{v1}})
	if versions, complete := incomplete.Of(at(time.Hour), "s"); complete || !slices.Equal(versions, []string{"v1"}) {
		t.Errorf("after an incomplete history: %v, complete: %v", versions, complete)
	}
}

// Guards against a stream that goes on at a version for lack of an answer, or because an isolated instance knows no other, and
// against streams that do not go on although only one version serves.
func TestResolve(t *testing.T) {
	record := Answer{Known: true, Origin: v2}
	only := func(version string) Answer { return Answer{Versions: []string{version}, Complete: true} }
	restarted := Answer{Versions: []string{"v1"}}
	both := Answer{Versions: []string{"v1", "v2"}, Complete: true}
	for name, c := range map[string]struct {
		answers []Answer
		origin  Origin
		verdict Verdict
	}{
		"no answer yet":                      {nil, Origin{}, Unanswered},
		"a record":                           {[]Answer{both, record}, v2, Found},
		"a record beside a sole version":     {[]Answer{only("v1"), only("v1"), record}, v2, Found},
		"two versions, one answer missing":   {[]Answer{both, both}, Origin{}, Unanswered},
		"two versions":                       {[]Answer{both, both, both}, Origin{}, Unknown},
		"a sole version":                     {[]Answer{only("v1"), only("v1")}, v1, Found},
		"one instance knows no other":        {[]Answer{only("v1")}, Origin{}, Unanswered},
		"a restarted instance":               {[]Answer{only("v1"), restarted, only("v1")}, v1, Found},
		"most instances restarted":           {[]Answer{only("v1"), restarted, restarted}, Origin{}, Unknown},
		"a restarted instance knows another": {[]Answer{only("v1"), only("v1"), {Versions: []string{"v2"}}}, Origin{}, Unknown},
		"instances know different ones":      {[]Answer{only("v1"), only("v2"), only("v1")}, Origin{}, Unknown},
		"an instance knows both":             {[]Answer{only("v1"), only("v1"), both}, Origin{}, Unknown},
		"no version":                         {[]Answer{{Complete: true}, {Complete: true}, {Complete: true}}, Origin{}, Unknown},
	} {
		origin, verdict := Resolve("s", 3, c.answers)
		if origin != c.origin || verdict != c.verdict {
			t.Errorf("%s: %v, %v; want %v, %v", name, origin, verdict, c.origin, c.verdict)
		}
	}
}
