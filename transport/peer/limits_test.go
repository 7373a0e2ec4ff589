package peer

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// Guards against a sender that exhausts the memory of its receiver with large notifications or calls.
func TestInboundBytesAreBounded(t *testing.T) {
	n := newNetwork()
	a := n.start(t, "a", func(o *Options) { o.BytesPerSecond, o.QueueBytes, o.BurstBytes = 1<<30, 64<<20, 64<<20 })
	b := n.start(t, "b", nil)
	entered, release := make(chan struct{}, 64), make(chan struct{})
	block := func(context.Context, Sender, json.RawMessage) (any, error) {
		entered <- struct{}{}
		<-release
		return nil, nil
	}
	b.Handle(peerapi.MethodGossip, block)
	b.Handle("block", block)
	large := strings.Repeat("x", 1_000_000)
	for range 5 {
		if err := a.Notify("b", peerapi.MethodGossip, large); err != nil {
			t.Fatal(err)
		}
	}
	// One notification is in its handler and two fit into the queue, so two of the five are dropped.
	eventually(t, "old notifications are dropped", func() bool { return b.metrics.dropped.Count() == 2 })
	results := make(chan error, 5)
	for range 5 {
		go func() { results <- a.Call(context.Background(), "b", "block", large, nil) }()
	}
	if err := wait(t, results, "refused call"); !NotRun(err) || !strings.Contains(err.Error(), "4 calls with 4000008 bytes") {
		t.Errorf("call over the byte bound: error %v", err)
	}
	close(release)
	for range 4 {
		if err := wait(t, results, "call within the byte bound"); err != nil {
			t.Error(err)
		}
	}
}

// Guards against notifications that arrive out of order, and against a send queue that is unbounded or drops new
// messages rather than old ones.
func TestNotificationsDropOldest(t *testing.T) {
	n := newNetwork()
	l := listen(t)
	n.setAddress("b", l.Addr().String())
	a := n.start(t, "a", func(o *Options) { o.QueueLength = 8 })
	// The kernel accepts the connection, but the handshake is not answered before Serve runs below.
	for i := range 20 {
		if err := a.Notify("b", peerapi.MethodRaftMessage, i); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.Notify("b", peerapi.MethodRaftMessage, strings.Repeat("x", peerapi.MaxFrameBytes)); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("oversize notification: error %v", err)
	}
	got := make(chan string, 64)
	tr, err := New(Options{Cluster: "chinook", Self: "b", Incarnation: 1, Resolve: n.resolve})
	if err != nil {
		t.Fatal(err)
	}
	tr.Handle(peerapi.MethodRaftMessage, func(_ context.Context, _ Sender, params json.RawMessage) (any, error) {
		got <- string(params)
		return nil, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- tr.Serve(ctx, l) }()
	for _, want := range []string{"12", "13", "14", "15", "16", "17", "18", "19"} {
		if s := wait(t, got, "notification "+want); s != want {
			t.Errorf("got notification %s, want %s", s, want)
		}
	}
	if dropped := a.metrics.dropped.Count(); dropped != 12 {
		t.Errorf("dropped message counter is %d, want 12", dropped)
	}
	cancel()
	if err := wait(t, ended, "end of Serve"); err != nil {
		t.Error(err)
	}
}

// Guards against consensus and lease messages that are delayed by the rate limit behind bulk messages.
func TestUrgentMessagesOvertakeBulkMessages(t *testing.T) {
	n := newNetwork()
	a := n.start(t, "a", func(o *Options) { o.BytesPerSecond, o.BurstBytes = 1, peerapi.MaxFrameBytes+headerBytes })
	b := n.start(t, "b", nil)
	bulk := make(chan struct{}, 16)
	b.Handle(peerapi.MethodGossip, func(context.Context, Sender, json.RawMessage) (any, error) {
		bulk <- struct{}{}
		return nil, nil
	})
	b.Handle(peerapi.MethodControlVote, func(context.Context, Sender, json.RawMessage) (any, error) { return 1, nil })
	for range 3 {
		if err := a.Notify("b", peerapi.MethodGossip, strings.Repeat("x", 700_000)); err != nil {
			t.Fatal(err)
		}
	}
	wait(t, bulk, "first bulk message")
	for range 5 {
		if err := a.Call(t.Context(), "b", peerapi.MethodControlVote, 1, nil); err != nil {
			t.Error(err)
		}
	}
	if len(bulk) > 0 {
		t.Error("a second bulk message was sent in spite of the rate limit")
	}
	if a.metrics.sentBytes.Count() < 700_000 || b.metrics.receivedMessages.Count() < 6 {
		t.Error("the byte and message counters are too low")
	}
}

// Guards against a closed link that keeps the tokens it reserved for a bulk message, so that other links have to wait.
func TestClosedLinkReturnsItsTokens(t *testing.T) {
	n := newNetwork()
	a := n.start(t, "a", func(o *Options) { o.BytesPerSecond, o.BurstBytes = 10_000, peerapi.MaxFrameBytes+headerBytes })
	bulk := make(chan struct{}, 16)
	count := func(context.Context, Sender, json.RawMessage) (any, error) {
		bulk <- struct{}{}
		return nil, nil
	}
	nodes := []*node{n.start(t, "b", nil), n.start(t, "c", nil)}
	for _, node := range nodes {
		node.Handle(peerapi.MethodGossip, count)
	}
	for range 2 { // the second message would wait for 35 s
		if err := a.Notify("b", peerapi.MethodGossip, strings.Repeat("x", 700_000)); err != nil {
			t.Fatal(err)
		}
	}
	wait(t, bulk, "first bulk message")
	eventually(t, "the second message has reserved its tokens", func() bool { return a.limiter.bucket.Tokens() < 0 })
	nodes[0].stop()
	eventually(t, "the tokens are returned", func() bool { return a.limiter.bucket.Tokens() > 0 })
	if err := a.Notify("c", peerapi.MethodGossip, strings.Repeat("x", 100_000)); err != nil {
		t.Fatal(err)
	}
	wait(t, bulk, "message on the other link")
}

// Guards against a call that fails on a busy machine, because the connection opened for it was closed as idle before
// the call continued.
func TestConnectionThatACallWaitsForIsNotIdle(t *testing.T) {
	n := newNetwork()
	a := n.start(t, "a", func(o *Options) { o.IdleTimeout, o.PingInterval = time.Millisecond, time.Millisecond })
	n.start(t, "b", nil)
	l, err := a.link("b")
	if err != nil {
		t.Fatal(err)
	}
	connected := func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.conn != nil
	}
	addWaiting := func(n int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.waitingCalls += n
	}
	addWaiting(1)
	if err := a.Call(t.Context(), "b", "echo", 1, nil); err != nil {
		t.Fatal(err)
	}
	for began := time.Now(); time.Since(began) < 30*time.Millisecond; time.Sleep(time.Millisecond) {
		if !connected() {
			t.Fatal("the connection was closed while a call waited for it")
		}
	}
	addWaiting(-1)
	eventually(t, "the connection is closed", func() bool { return !connected() })
}

// Guards against idle connections that stay open, and against calls that fail because an idle connection was closed.
func TestIdleConnectionIsClosedAndReopened(t *testing.T) {
	n := newNetwork()
	a := n.start(t, "a", func(o *Options) { o.IdleTimeout, o.PingInterval = time.Millisecond, time.Millisecond })
	b := n.start(t, "b", nil)
	for range 20 {
		if err := a.Call(t.Context(), "b", "echo", 1, nil); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the connection is closed", func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return len(b.connections) == 0 && len(b.inbound) == 0
		})
	}
}
