package replica

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
)

func command(index uint64, id string, base uint64, data string) *raft.Entry {
	return &raft.Entry{Index: index, ID: id, Data: encodeCommand(base, []byte(data))}
}

// Guards against a duplicate that is applied after its record was evicted, a table that grows without bound, and
// replicas that differ after one is restored from a snapshot.
func TestDedupTable(t *testing.T) {
	a := &applier{machine: &commandRecorder{t: t}, table: newDedupTable()}
	for i := uint64(1); i <= maxRecentProposals+10; i++ {
		for range 2 {
			a.apply(command(i, fmt.Sprint("id", i), i-1, "x"))
		}
	}
	b := &applier{machine: &commandRecorder{t: t}, table: newDedupTable()}
	snapshot, err := a.snapshot()
	if err == nil {
		err = b.restore(snapshot)
	}
	if err != nil {
		t.Fatal(err)
	}
	index := uint64(maxRecentProposals + 11)
	for name, replica := range map[string]*applier{"original": a, "restored": b} {
		if r := replica.apply(command(index, "id1", 0, "x")); r.Outcome != OutcomeExpired {
			t.Errorf("%s: duplicate of a command with an evicted result: %+v", name, r)
		}
		if r := replica.apply(command(index, "id20", 0, "x")); string(r.Result) != "20" || r.Index != 20 {
			t.Errorf("%s: duplicate of a command with a recorded result: %+v", name, r)
		}
		if r := replica.apply(command(index, "new", index-1, "x")); string(r.Result) != fmt.Sprint(index) {
			t.Errorf("%s: new command: %+v", name, r)
		}
	}
	first, _ := a.snapshot()
	second, _ := b.snapshot()
	if !bytes.Equal(first, second) || len(b.table.order) != maxRecentProposals {
		t.Errorf("snapshots differ, or the table holds %d records", len(b.table.order))
	}
}

// Guards against recorded results whose total size is unbounded.
func TestDedupTableSizeLimit(t *testing.T) {
	table := newDedupTable()
	for i := range uint64(100) {
		table.add(&record{ID: fmt.Sprint(i), Index: i, Result: make([]byte, 100<<10)})
	}
	if table.resultBytes > maxRecentResultBytes || table.evictedIndex == 0 || len(table.records) != len(table.order) {
		t.Fatalf("table holds %d bytes in %d records, evicted up to index %d", table.resultBytes, len(table.records), table.evictedIndex)
	}
}

// Guards against commands that reach the wrong state machine, and snapshots that drop the state of one.
func TestMux(t *testing.T) {
	one, two := &commandRecorder{t: t}, &commandRecorder{t: t}
	m := NewMux(map[string]StateMachine{"one": one, "two": two})
	for i, name := range []string{"one", "two", "two"} {
		if _, err := m.Apply(uint64(i+1), EncodeCommand(name, []byte(name))); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := m.Apply(9, EncodeCommand("three", nil)); err == nil {
		t.Error("a command for an unknown machine was accepted")
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	copies := map[string]StateMachine{"one": &commandRecorder{t: t}, "two": &commandRecorder{t: t}}
	if err := NewMux(copies).Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if got := copies["two"].(*commandRecorder).list(); len(got) != 2 || got[0] != "two" {
		t.Errorf("machine two after restore: %v", got)
	}
	if err := NewMux(map[string]StateMachine{"one": one}).Restore(snapshot); err == nil {
		t.Error("a snapshot of an unknown machine was accepted")
	}
}

type noopMachine struct{}

func (noopMachine) Apply(uint64, []byte) ([]byte, error) { return nil, nil }
func (noopMachine) Snapshot() ([]byte, error)            { return nil, nil }
func (noopMachine) Restore([]byte) error                 { return nil }

// BenchmarkApply measures applying one committed command. The table of recent proposals fills up in the course of it.
func BenchmarkApply(b *testing.B) {
	for _, size := range []int{128, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("%dB", size), func(b *testing.B) {
			a := &applier{machine: noopMachine{}, table: newDedupTable()}
			data := encodeCommand(0, make([]byte, size))
			index := uint64(0)
			b.ReportAllocs()
			b.SetBytes(int64(size))
			for b.Loop() {
				index++
				e := raft.Entry{Index: index, ID: fmt.Sprint(index), Data: data}
				a.apply(&e)
			}
		})
	}
}

// BenchmarkPropose measures proposals from parallel goroutines on a group of one voter, including log syncs.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{128, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("%dB", size), func(b *testing.B) {
			g, err := Open(Options{Name: "config", Self: "a", Voters: []string{"a"}, DataDir: b.TempDir(), Machine: noopMachine{},
				Sender: endpoint{}, Peers: endpoint{}})
			if err != nil {
				b.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- g.Run(b.Context()) }()
			b.Cleanup(func() {
				if err := <-ended; err != nil {
					b.Error(err)
				}
			})
			for g.Status().Role != "leader" {
				time.Sleep(time.Millisecond)
			}
			data := make([]byte, size)
			b.ReportAllocs()
			b.SetBytes(int64(size))
			b.SetParallelism(8)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := g.Propose(b.Context(), data); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}
