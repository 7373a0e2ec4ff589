package electorate

import (
	"bytes"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func apply(t interface{ Fatal(...any) }, m *Machine, index uint64, c Command) Result {
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := m.Apply(index, data)
	if err != nil {
		t.Fatal(err)
	}
	r, err := DecodeResult(raw)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func voteCommand(name string, fence, round, expect uint64) Command {
	return Command{Vote: &WitnessVoteRequest{DataCentre: "dc", Holder: Holder{name, 1}, Fence: fence, Round: round, ExpectedVote: expect}}
}

// Guards against a repeated join that gets a new index, and a restarted elector that keeps its old one.
func TestJoin(t *testing.T) {
	m := New()
	join := func(index, incarnation uint64) uint64 {
		return apply(t, m, index, Command{Join: &Join{"dc", "e", incarnation}}).JoinIndex
	}
	got := []uint64{join(3, 1), join(4, 1), join(9, 2), m.LatestJoin("dc"), m.LatestJoin("other")}
	if diff := cmp.Diff([]uint64{3, 3, 9, 9, 0}, got); diff != "" {
		t.Fatal(diff)
	}
	data, _ := Command{Join: &Join{"dc", "e", 3}}.Encode()
	if _, err := m.Apply(math.MaxUint32+1, data); err == nil {
		t.Fatal("a join with a log index above 32 bits was accepted")
	}
}

// Guards against a witness that votes for two holders at the same time. A vote may only replace the vote that the
// candidate has seen.
func TestWitnessVote(t *testing.T) {
	release := voteCommand("b", 7, 0, 0)
	release.Vote.Release = true
	m := New()
	for i, c := range []struct {
		command Command
		granted bool
	}{
		{voteCommand("a", 5, 1, 0), true},
		{voteCommand("a", 5, 1, 0), true},  // repeat
		{voteCommand("b", 6, 1, 0), false}, // has not seen a's vote
		{voteCommand("a", 5, 2, 1), true},  // renewal
		{voteCommand("b", 6, 1, 1), false}, // saw only the vote before the renewal
		{voteCommand("b", 5, 1, 2), false}, // same fencing number for another holder
		{voteCommand("b", 7, 1, 2), true},
		{voteCommand("a", 5, 3, 2), false}, // late renewal of the replaced holder
		{voteCommand("a", 6, 4, 3), false}, // lower fencing number
		{release, true},
		{voteCommand("b", 7, 2, 3), false}, // renewal after the release
		{voteCommand("a", 8, 1, 3), true},
	} {
		if got := apply(t, m, uint64(i+1), c.command).Granted; got != c.granted {
			t.Fatalf("step %d: granted %v, want %v", i, got, c.granted)
		}
	}
}

// Guards against a journal copy that has a gap, accepts records of a replaced controller or is missing from a snapshot.
func TestJournalCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		var fence, last, promised uint64
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := JournalRecord{
				DataCentre: "dc", Fence: rapid.Uint64Range(1, 4).Draw(t, "fence"), Sequence: rapid.Uint64Range(1, 6).Draw(t, "sequence"),
				Base: rapid.Bool().Draw(t, "base"),
			}
			if rapid.IntRange(0, 5).Draw(t, "vote") == 0 {
				v := m.Vote("dc")
				if apply(t, m, uint64(i+1), voteCommand("a", r.Fence, 1, v.Number)).Granted {
					promised = r.Fence
				}
				continue
			}
			want := r.Fence >= promised && (r.Fence > fence && r.Base || r.Fence == fence && (r.Sequence <= last || r.Base || r.Sequence == last+1))
			got := apply(t, m, uint64(i+1), Command{Record: &r})
			if got.Granted != want {
				t.Fatalf("record %+v after fence %d, sequence %d, promised fence %d: granted %v, want %v", r, fence, last, promised, got.Granted, want)
			}
			if want && (r.Fence > fence || r.Sequence > last) {
				fence, last = r.Fence, r.Sequence
			}
			if diff := cmp.Diff(JournalPosition{fence, last}, got.Journal); diff != "" {
				t.Fatal(diff)
			}
			records := m.Journal("dc").Records
			for k := range records {
				if k == 0 != records[k].Base || k > 0 && (records[k].Sequence != records[k-1].Sequence+1 || records[k].Fence != records[0].Fence) {
					t.Fatalf("missing base, gap or changed fence at record %d of %+v", k, records)
				}
			}
		}
		first, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := New()
		if err := restored.Restore(first); err != nil {
			t.Fatal(err)
		}
		second, err := restored.Snapshot()
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("snapshot of the restored machine differs (error %v)", err)
		}
	})
}

// Guards against invalid commands and snapshots that change the state.
func TestInvalidInputChangesNothing(t *testing.T) {
	m := New()
	apply(t, m, 1, Command{Join: &Join{"dc", "e", 1}})
	ambiguous, _ := Command{Join: &Join{}, Vote: &WitnessVoteRequest{}}.Encode()
	for _, data := range [][]byte{nil, {0xff}, ambiguous} {
		if _, err := m.Apply(2, data); err == nil {
			t.Fatalf("invalid command %x was accepted", data)
		}
	}
	if err := m.Restore([]byte{0xff}); err == nil || m.LatestJoin("dc") != 1 {
		t.Fatal("an invalid snapshot was accepted or changed the state")
	}
}
