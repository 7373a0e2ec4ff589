package peer

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
)

// countedNode starts a node whose senders may hold 4 MB together, 3 MB of them if they hold more than 256 KiB each.
func countedNode(t *testing.T, n *network, name string) (*node, func() int64) {
	registry := metrics.NewRegistry()
	pool := intake.New(intake.Options{MemoryMB: 40, Registry: registry})
	counted := n.start(t, name, func(o *Options) { o.Memory = pool.Peers() })
	return counted, func() int64 { return registry.Get("intake.peers_held_bytes").(metrics.Gauge).Value() }
}

// Guards against senders that fill the memory of their receiver together, against small messages of other senders that find no room, and
// against counts that stay when the connection has ended.
func TestMemoryOfAllSendersIsBounded(t *testing.T) {
	n := newNetwork()
	b, held := countedNode(t, n, "b")
	release := make(chan struct{})
	b.Handle("block", func(context.Context, Sender, json.RawMessage) (any, error) {
		<-release
		return nil, nil
	})
	large := strings.Repeat("x", 1_000_000)
	results := make(chan error, 6)
	var senders []*node
	for _, name := range []string{"a", "c", "d"} {
		sender := n.start(t, name, func(o *Options) {
			o.BytesPerSecond, o.QueueBytes, o.BurstBytes, o.CallTimeout = 1<<30, 64<<20, 64<<20, 2*time.Second
		})
		senders = append(senders, sender)
		for range 2 {
			go func() { results <- sender.Call(context.Background(), "b", "block", large, nil) }()
		}
	}
	refused := 0
	for ; refused < 3; refused++ {
		if err := wait(t, results, "call without room"); err == nil {
			t.Fatal("a call ended that was to be blocked")
		}
	}
	if got := held(); got > 4<<20 {
		t.Errorf("%d bytes are held, 4 MiB allowed", got)
	}
	other := n.start(t, "e", nil)
	if err := other.Call(t.Context(), "b", "echo", 1, nil); err != nil {
		t.Errorf("small call beside large ones: %v", err)
	}
	close(release)
	for ; refused < 6; refused++ {
		_ = wait(t, results, "blocked call")
	}
	for _, sender := range append(senders, other) {
		sender.stop()
	}
	eventually(t, "everything is given back", func() bool { return held() == 0 })
}

// Guards against connections without a handshake that hold the memory of those with one, and against frames that are allocated by their
// announced size.
func TestMemoryBeforeTheHandshakeIsBounded(t *testing.T) {
	n := newNetwork()
	b, held := countedNode(t, n, "b")
	for range 64 {
		c, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = c.Write([]byte{0, 0, 0xff, 0})
		_, _ = c.Write(make([]byte, 0xf000))
	}
	eventually(t, "connections are refused", func() bool { return b.metrics.rejected.Count() > 0 })
	if got := held(); got > 1<<20+maxHandshaking*connectionBytes {
		t.Errorf("%d bytes are held, 1 MiB and those of %d connections allowed", got, maxHandshaking)
	}
	a := n.start(t, "a", nil)
	eventually(t, "a process connects when others have gone", func() bool { return a.Call(t.Context(), "b", "echo", 1, nil) == nil })
	if err := a.Notify("b", peerapi.MethodGossip, 1); err != nil {
		t.Error(err)
	}
}

// Guards against a connection, with all calls that run on it, that is closed because one response finds no room.
func TestResponseWithoutRoomFailsOnlyItsCall(t *testing.T) {
	n := newNetwork()
	peers := intake.New(intake.Options{MemoryMB: 40}).Peers()
	b := n.start(t, "b", func(o *Options) { o.Memory = peers })
	running, release := make(chan struct{}), make(chan struct{})
	b.Handle("block", func(context.Context, Sender, json.RawMessage) (any, error) {
		close(running)
		<-release
		return nil, nil
	})
	b.Handle("large", func(context.Context, Sender, json.RawMessage) (any, error) { return strings.Repeat("x", 500_000), nil })
	a := n.start(t, "a", nil)
	blocked := make(chan error, 1)
	go func() { blocked <- a.Call(context.Background(), "b", "block", 1, nil) }()
	wait(t, running, "blocked call")
	const others = 2_900_000 // what other senders hold
	if !peers.Take(others, 0, true) {
		t.Fatal("no room for what others hold")
	}
	var remote *RemoteError
	if err := a.Call(t.Context(), "b", "large", 1, nil); !errors.As(err, &remote) || remote.Code != peerapi.CodeFailed {
		t.Errorf("response without room: error %v", err)
	}
	peers.Release(others, true)
	close(release)
	if err := wait(t, blocked, "blocked call"); err != nil {
		t.Errorf("call beside a response without room: %v", err)
	}
	if err := a.Call(t.Context(), "b", "large", 1, nil); err != nil {
		t.Errorf("response with room: %v", err)
	}
}
