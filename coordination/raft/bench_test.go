package raft

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// benchmarkLeader returns the leader of three voters. Its log holds only the no-op entry of its term.
func benchmarkLeader(b *testing.B, now time.Time) *Node {
	ids := []string{"a@0", "b@0", "c@0"}
	n, err := New(Config{ID: ids[0], Rand: rand.New(rand.NewPCG(1, 1)), MaxInflight: 1 << 20},
		SavedState{HardState: HardState{Term: 1, Commit: 1}, Snapshot: BootstrapSnapshot(ids)})
	if err != nil {
		b.Fatal(err)
	}
	n.startElection(now, false)
	if err := n.Step(now, Message{Type: MsgVoteResponse, From: "b@0", To: "a@0", Term: 2}); err != nil {
		b.Fatal(err)
	}
	return n
}

// BenchmarkReplicate measures the leader's work for one proposal from Propose to commit. Both followers acknowledge it.
func BenchmarkReplicate(b *testing.B) {
	for _, size := range []int{128, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("%dB", size), func(b *testing.B) {
			now := time.Unix(0, 0)
			n := benchmarkLeader(b, now)
			data := make([]byte, size)
			ack := func() {
				for r, ok := n.Ready(); ok; r, ok = n.Ready() {
					for _, m := range r.Messages {
						if m.Type == MsgAppend {
							response := Message{Type: MsgAppendResponse, From: m.To, To: m.From, Term: m.Term, Index: m.Index + uint64(len(m.Entries))}
							if err := n.Step(now, response); err != nil {
								b.Fatal(err)
							}
						}
					}
					n.Advance(now, r)
				}
			}
			ack()
			b.ReportAllocs()
			b.SetBytes(int64(size))
			for b.Loop() {
				index, _, err := n.Propose(now, "id", data)
				if err != nil {
					b.Fatal(err)
				}
				ack()
				if n.Commit() != index {
					b.Fatalf("commit index %d after entry %d", n.Commit(), index)
				}
				if n.Applied()-n.snapshot.Index >= 1000 {
					if _, err := n.Compact(n.Applied(), n.Applied(), nil); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
