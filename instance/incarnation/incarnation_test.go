package incarnation_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/instance/incarnation"
)

// Guards against a restart whose incarnation is below that of the previous process because the clock was set back.
func TestIncarnationGrowsWhenTheClockIsSetBack(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	now := time.Unix(1000, 0)
	first, err := incarnation.Next(folder, now)
	if err != nil {
		t.Fatal(err)
	}
	second, err := incarnation.Next(folder, now.Add(-time.Hour))
	if err != nil || second <= first {
		t.Errorf("second incarnation %d, first %d, error %v; want a larger second one", second, first, err)
	}
}

// Guards against a corrupt incarnation file that is treated like a missing one, as on a first start.
func TestCorruptFileIsAnError(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "incarnation"), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := incarnation.Next(folder, time.Unix(1, 0)); err == nil {
		t.Error("no error for a corrupt incarnation file")
	}
}
