package fleetapi

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tarragonhoist/tarragonhoist/coordination/streamorigin"
)

// Guards against streams that are decoded with another origin, or that are forgotten before their caller gives up.
func TestPackedStreams(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v1, v2 := streamorigin.Origin{Service: "s", SoftwareVersion: "v1"}, streamorigin.Origin{Service: "s", SoftwareVersion: "v2"}
	record := func(attempt string, o streamorigin.Origin, life time.Duration) streamorigin.Record {
		return streamorigin.Record{Stream: streamorigin.IDOf(attempt), Origin: o, ExpiresAt: now.Add(life)}
	}
	groups := PackStreams(now, []streamorigin.Record{
		record("a", v1, 12*time.Second), record("b", v2, 1500*time.Millisecond), record("c", v1, 48*time.Hour), record("expired", v1, 0),
	})
	got, err := UnpackStreams(now, groups)
	if err != nil {
		t.Fatal(err)
	}
	want := []streamorigin.Record{record("a", v1, 12*time.Second), record("c", v1, 24*time.Hour), record("b", v2, 2*time.Second)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a malformed report that takes a control instance down.
func FuzzUnpackStreams(f *testing.F) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, g := range PackStreams(now, []streamorigin.Record{{Stream: 1, ExpiresAt: now.Add(time.Second)}, {Stream: 2, ExpiresAt: now.Add(time.Hour)}}) {
		f.Add(g.Packed)
	}
	f.Add([]byte("short"))
	f.Fuzz(func(t *testing.T, packed []byte) {
		records, err := UnpackStreams(now, []StreamGroup{{Service: "s", Packed: packed}})
		if err != nil && records != nil {
			t.Fatalf("records %+v together with error %v", records, err)
		}
		for _, r := range records {
			if r.ExpiresAt.Before(now) || r.ExpiresAt.After(now.Add(maxStreamSeconds*time.Second)) {
				t.Fatalf("record %+v expires out of range", r)
			}
		}
	})
}
