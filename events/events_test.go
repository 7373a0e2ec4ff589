package events_test

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/events"
)

// Guards against a documentation page whose event table differs from the code. On failure it prints the expected table.
func TestCatalogueMatchesTheDocumentation(t *testing.T) {
	page, err := os.ReadFile("../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	var want strings.Builder
	want.WriteString("| number | name | level | meaning |\n|---|---|---|---|\n")
	for _, d := range events.Catalogue() {
		fmt.Fprintf(&want, "| %d | %s | %s | %s |\n", d.Number, d.Name, d.Level, d.Meaning)
	}
	if !strings.Contains(string(page), want.String()) {
		t.Errorf("docs/events.md does not contain this table:\n%s", want.String())
	}
}

// Guards against two events with the same number or name, which would make logs ambiguous.
func TestNumbersAndNamesAreUnique(t *testing.T) {
	numbers, names := make(map[int]bool), make(map[string]bool)
	for _, d := range events.Catalogue() {
		if numbers[d.Number] || names[d.Name] {
			t.Errorf("number or name of event %d %q is defined twice", d.Number, d.Name)
		}
		numbers[d.Number], names[d.Name] = true, true
	}
}

// Guards against a ring buffer that grows without bound or returns events out of order.
func TestRingKeepsTheLatestEvents(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := events.NewRecorder(log, "a1", "a", func() time.Time { return time.Unix(1, 0) })
	for range events.Capacity + 5 {
		r.Record(events.Listening, nil)
	}
	var got []uint64
	for _, e := range r.Since(0, 3) {
		got = append(got, e.Sequence)
	}
	n := uint64(events.Capacity + 5)
	if diff := cmp.Diff([]uint64{n - 2, n - 1, n}, got); diff != "" {
		t.Error(diff)
	}
	if kept := len(r.Since(0, 2*events.Capacity)); kept != events.Capacity {
		t.Errorf("%d events are kept, want %d", kept, events.Capacity)
	}
	if more := r.Since(n, 10); len(more) != 0 {
		t.Errorf("%d events after the last one, want 0", len(more))
	}
}

// Guards against kept events that hold what clients chose: with paths of 64 KB, 2,000 refusals took a gateway over its memory.
func TestLongFieldsAreShortened(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := events.NewRecorder(log, "a1", "a", func() time.Time { return time.Unix(1, 0) })
	r.Record(events.RequestRefused, events.Fields{"path": strings.Repeat("x", 64<<10), "status": 404, "reason": "short"})
	fields := r.Since(0, 1)[0].Fields
	path := fields["path"].(string)
	if len(path) > 1100 || !strings.HasSuffix(path, "(65536 bytes)") || fields["status"] != 404 || fields["reason"] != "short" {
		t.Errorf("path of %d bytes ending with %.20q, status %v, reason %v", len(path), path[max(len(path)-20, 0):], fields["status"], fields["reason"])
	}
}
