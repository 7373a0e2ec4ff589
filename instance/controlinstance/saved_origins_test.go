package controlinstance

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/streamorigin"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
)

func newOriginsInstance(dir string, firstStart bool) *Instance {
	return &Instance{opts: Options{DataDir: dir, FirstStart: firstStart}, view: fleetview.New(nil, "dc", nil),
		versions: streamorigin.NewVersions(time.Now()), streams: streamorigin.NewJournal(), known: newKnownVersions()}
}

// Guards against origins of streams that are lost at a restart, against a history that counts as complete although a process that
// does not save it ran in between, and against a damaged file that keeps an instance from starting.
func TestOriginsOfStreamsSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	now := time.Now()
	v1, v2 := streamorigin.Origin{Service: "s", SoftwareVersion: "v1"}, streamorigin.Origin{Service: "s", SoftwareVersion: "v2"}
	first := newOriginsInstance(dir, true)
	if err := first.loadOrigins(now, 0); err != nil {
		t.Fatalf("without a file: %v", err)
	}
	const term = 7
	sole := streamorigin.Origin{Service: "sole", SoftwareVersion: "v1"}
	for _, o := range []streamorigin.Origin{v1, sole} {
		first.versions.Observe(now, o)
	}
	first.addStreams([]streamorigin.Record{{Stream: 1, Origin: v1, ExpiresAt: now.Add(time.Minute)}, {Stream: 2, Origin: sole, ExpiresAt: now.Add(time.Minute)}})
	if !first.originsDue(now, term) {
		t.Error("new versions are not saved")
	}
	if err := first.saveOrigins(now, term); err != nil {
		t.Fatal(err)
	}
	later := now.Add(2 * streamSaveInterval)
	if first.originsDue(later, term) {
		t.Error("streams are saved although their origin follows from the versions")
	}
	if !first.originsDue(later, term+1) {
		t.Error("a new term is not saved")
	}
	first.versions.Observe(later, v2) // from now on the versions do not tell where stream 1 began
	if err := first.saveOrigins(later, term); err != nil {
		t.Fatal(err)
	}
	first.addStreams([]streamorigin.Record{{Stream: 3, Origin: v2, ExpiresAt: now.Add(time.Minute)}})
	if first.originsDue(later, term) || !first.originsDue(later.Add(streamSaveInterval), term) {
		t.Error("streams are saved too often, or not at all")
	}
	if err := first.saveOrigins(later, term); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		term     uint64
		complete bool
	}{"the next process": {term, true}, "after a process of another build": {term + 1, false}} {
		restarted := newOriginsInstance(dir, false)
		if err := restarted.loadOrigins(later, c.term); err != nil {
			t.Fatal(err)
		}
		for stream, want := range map[streamorigin.ID]streamorigin.Origin{1: v1, 3: v2} {
			if origin, ok := restarted.view.OriginOf(later, stream); !ok || origin != want {
				t.Errorf("%s: stream %d began at %v, %v; want %v", name, stream, origin, ok, want)
			}
		}
		if _, ok := restarted.view.OriginOf(later, 2); ok {
			t.Errorf("%s: a stream was saved whose origin follows from the versions", name)
		}
		if versions, complete := restarted.versions.Of(later, "sole"); complete != c.complete || len(versions) != 1 {
			t.Errorf("%s: versions %v, complete: %v, want %v", name, versions, complete, c.complete)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, originsFile), []byte(`{"term":1,"history":{`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := newOriginsInstance(dir, true).loadOrigins(now, 0); err == nil {
		t.Error("a damaged file is not reported")
	}
}
