package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"
)

// testTimeout is the time after which a test that waits for an event fails.
const testTimeout = 30 * time.Second

// network holds the addresses of the instances of one test.
type network struct {
	mu        sync.Mutex
	addresses map[string]string
}

func newNetwork() *network { return &network{addresses: make(map[string]string)} }

func (n *network) resolve(name string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	address, ok := n.addresses[name]
	return address, ok
}

func (n *network) setAddress(name, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addresses[name] = address
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

type node struct {
	*Transport
	address string
	events  chan Event
	stop    func()
}

func (n *network) start(t testing.TB, name string, change func(*Options)) *node {
	t.Helper()
	l := listen(t)
	n.setAddress(name, l.Addr().String())
	return n.startWithListener(t, name, l, change)
}

func (n *network) startWithListener(t testing.TB, name string, l net.Listener, change func(*Options)) *node {
	t.Helper()
	events := make(chan Event, 1024)
	opts := Options{
		Cluster: "chinook", Self: name, Incarnation: 1, Resolve: n.resolve, CallTimeout: testTimeout,
		DialTimeout: testTimeout, OnEvent: func(e Event) { events <- e },
	}
	if change != nil {
		change(&opts)
	}
	tr, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	tr.Handle("echo", func(_ context.Context, from Sender, params json.RawMessage) (any, error) {
		return map[string]any{"from": from, "params": params}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- tr.Serve(ctx, l) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			if err := wait(t, ended, "end of Serve"); err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(stop)
	return &node{tr, l.Addr().String(), events, stop}
}

func wait[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for: %s", what)
		panic("unreachable")
	}
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

type echoResult struct {
	From   Sender
	Params any
}
