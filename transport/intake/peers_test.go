package intake

import "testing"

// Guards against large messages of some processes that leave no room for small ones of others, and against connections without a
// handshake that use the room of those with one.
func TestPartsOfPeers(t *testing.T) {
	q := New(Options{MemoryMB: 40}).Peers() // 4 MiB
	for i, row := range []struct {
		n, held int64
		proven  bool
		want    bool
	}{
		{1 << 20, 0, false, true},
		{1, 0, false, false},
		{2 << 20, 0, true, true},
		{1, 2 << 20, true, false},
		{200 << 10, 0, true, true},
		{200 << 10, 200 << 10, true, false},
		{800 << 10, 0, true, false},
		{100 << 10, 0, true, true},
	} {
		if got := q.Take(row.n, row.held, row.proven); got != row.want {
			t.Errorf("%d: %d bytes more for one that holds %d: %t, want %t", i, row.n, row.held, got, row.want)
		}
	}
	q.Prove(1 << 20)
	if !q.Take(1<<10, 0, false) {
		t.Error("a new connection finds no room after others have completed their handshake")
	}
}

// Guards against connections that leave no room for messages, and against large messages that never pass beside many connections.
func TestConnectionsOfPeersLeaveRoomForMessages(t *testing.T) {
	q := New(Options{MemoryMB: 280}).Peers() // 28 MiB
	n := 0
	for q.Connect(24 << 10) {
		n++
	}
	if n < 1000 || n > 1100 {
		t.Errorf("%d connections, want 1,000 at least and 24.5 MiB at most", n)
	}
	if !q.Take(2<<20, 0, true) {
		t.Error("a frame of 1 MiB, with its buffer of half the size, finds no room beside all connections")
	}
	q.Release(2<<20, true)
	for range n {
		q.Disconnect(24 << 10)
	}
	if used := q.used.Load(); used != 0 {
		t.Errorf("%d bytes are counted at the end", used)
	}
}

// Guards against connections from other processes that use the descriptors of clients.
func TestConnectionsOfPeersFollowTheDescriptors(t *testing.T) {
	for _, row := range []struct {
		maxFDs     int
		fewTargets bool
		want       int
	}{{0, false, 1024}, {512, true, 168}, {512, false, 112}, {4096, true, 1024}, {10_250, false, 1024}} {
		if n := New(Options{MaxFDs: row.maxFDs}).PeerConnections(1024, row.fewTargets); n != row.want {
			t.Errorf("%+v: %d connections", row, n)
		}
	}
}
