package controlinstance

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// Guards against a control instance that starts after a configuration has made a model smaller, takes the new size for the weights that
// targets hold, and orders loads beside them.
func TestSizesSurviveRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), sizesFile)
	document := func(version uint64, weightsMB float64) *routes.Document {
		return &routes.Document{Version: version, Services: []routes.Service{{Name: "s", Engine: &routes.Engine{
			Models: []routes.Model{{Name: "m", WeightsMB: weightsMB, AdapterMB: 5}, {Name: "other", WeightsMB: 10}}}}}}
	}
	holding := func() []roster.Entry {
		return []roster.Entry{{Target: roster.Target{Service: "s", Models: []roster.Held{{Model: "m"}}}}}
	}
	now := time.Unix(100, 0)
	before := newModelSizes()
	if err := before.load(now, path); err != nil { // there is no file yet
		t.Fatal(err)
	}
	before.observe(now, document(1, 72_700), holding)
	before.observe(now, document(2, 36_350), holding)
	if changes, err := before.save(path); err != nil || changes != before.changeCount() {
		t.Fatalf("%d of %d changes saved, error %v", changes, before.changeCount(), err)
	}
	after := newModelSizes()
	if err := after.load(now, path); err != nil {
		t.Fatal(err)
	}
	after.observe(now, document(2, 36_350), holding)
	engine := document(2, 36_350).Services[0].Engine
	if got, _, known := after.of("s", engine, "m"); got != 72_700 || !known {
		t.Errorf("after a restart the model counts with %v MB, known %v; want 72,700", got, known)
	}
	// Nothing holds the model any more.
	nothing := func() []roster.Entry { return nil }
	for range 3 {
		now = now.Add(sizeRetention)
		after.observe(now, document(2, 36_350), nothing)
	}
	if got, _, _ := after.of("s", engine, "m"); got != 36_350 {
		t.Errorf("a model that no target holds counts with %v MB, want 36,350", got)
	}
	if err := os.WriteFile(path, []byte(`[{"service":`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := newModelSizes().load(now, path); err == nil {
		t.Error("a damaged file is no error")
	}
}
