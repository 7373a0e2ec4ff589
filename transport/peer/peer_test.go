package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/big"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/standin/relay"
)

// bound is how long a test waits for an event before it gives up.
const bound = 30 * time.Second

// network knows the addresses of the instances of one test.
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

func (n *network) set(name, address string) {
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
	n.set(name, l.Addr().String())
	return n.startOn(t, name, l, change)
}

func (n *network) startOn(t testing.TB, name string, l net.Listener, change func(*Options)) *node {
	t.Helper()
	events := make(chan Event, 1024)
	opts := Options{
		Cluster: "chinook", Self: name, Incarnation: 1, Resolve: n.resolve, CallTimeout: bound, DialTimeout: bound,
		OnEvent: func(e Event) { events <- e },
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
	case <-time.After(bound):
		t.Fatalf("not seen: %s", what)
		panic("unreachable")
	}
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not seen: %s", what)
		}
	}
}

type echo struct {
	From   Sender
	Params any
}

// Guards against lost or mixed-up answers, and against errors that do not tell whether the call ran.
func TestCalls(t *testing.T) {
	n := newNetwork()
	a := n.start(t, "a", nil)
	b := n.start(t, "b", func(o *Options) { o.MaxInboundCalls = 1 })
	entered, release := make(chan struct{}), make(chan struct{})
	b.Handle("block", func(context.Context, Sender, json.RawMessage) (any, error) {
		entered <- struct{}{}
		<-release
		return nil, nil
	})
	b.Handle("fail", func(context.Context, Sender, json.RawMessage) (any, error) { return nil, errors.New("disk is full") })
	b.Handle("large", func(context.Context, Sender, json.RawMessage) (any, error) {
		return strings.Repeat("x", peerapi.MaxFrameBytes), nil
	})
	b.Handle("unencodable", func(context.Context, Sender, json.RawMessage) (any, error) { return func() {}, nil })
	var got echo
	if err := a.Call(t.Context(), "b", "echo", 7, &got); err != nil || got.From != (Sender{"a", 1}) || got.Params != 7.0 {
		t.Fatalf("%+v, %v", got, err)
	}
	blocked := make(chan error, 1)
	for _, c := range []struct {
		name, peer, method string
		params             any
		notRun             bool
		want               string
	}{
		{"unknown peer", "z", "echo", nil, true, `peer "z" is not known`},
		{"itself", "a", "echo", nil, true, "is this instance"},
		{"unknown method", "b", "nothing", nil, true, "method nothing is not known"},
		{"handler error", "b", "fail", nil, false, "disk is full"},
		{"unencodable answer", "b", "unencodable", nil, false, "answer cannot be encoded"},
		{"large request", "b", "echo", strings.Repeat("x", peerapi.MaxFrameBytes), true, ErrFrameTooLarge.Error()},
		{"large answer", "b", "large", nil, false, ErrFrameTooLarge.Error()},
		{"busy", "b", "echo", nil, true, "1 calls with 0 bytes run already"},
	} {
		if c.name == "busy" {
			go func() { blocked <- a.Call(context.Background(), "b", "block", nil, nil) }()
			wait(t, entered, "blocking call")
		}
		err := a.Call(t.Context(), c.peer, c.method, c.params, nil)
		if err == nil || !strings.Contains(err.Error(), c.want) || NotRun(err) != c.notRun {
			t.Errorf("%s: error %v, not run %v", c.name, err, NotRun(err))
		}
	}
	close(release)
	if err := wait(t, blocked, "end of the blocking call"); err != nil {
		t.Error(err)
	}
}

// Guards against strangers and misdirected connections, and against refusals that do not say what is wrong.
func TestHandshakeRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Options)
		want   string
	}{
		{"wrong cluster", func(o *Options) { o.Cluster = "sahel" }, `cluster is "sahel", want "chinook"`},
		{"wrong receiver", func(o *Options) {
			resolve := o.Resolve
			o.Resolve = func(string) (string, bool) { return resolve("b") }
		}, `receiver is "c", but this is "b"`},
		{"unknown sender", func(o *Options) { o.Self = "stranger" }, `instance "stranger" is not known here`},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork()
			b := n.start(t, "b", nil)
			a := n.start(t, "a", c.change)
			peer := "b"
			if c.name == "wrong receiver" {
				peer = "c"
			}
			err := a.Call(t.Context(), peer, "echo", 1, nil)
			if err == nil || !strings.Contains(err.Error(), c.want) || !NotRun(err) {
				t.Errorf("caller got %v", err)
			}
			if e := wait(t, b.events, "rejection"); e.Kind != Rejected || !strings.Contains(e.Err.Error(), c.want) {
				t.Errorf("receiver reported %+v", e)
			}
			if e := wait(t, a.events, "failure"); e.Kind != Unreachable || e.Peer != peer {
				t.Errorf("caller reported %+v", e)
			}
		})
	}
}

// rawFrame makes a frame from JSON text.
func rawFrame(text string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

const rawEnvelope = `"meta":{"c":"chinook","s":"a","i":1,"v":1}`

func rawHello(version string) []byte {
	return rawFrame(`{"jsonrpc":"2.0","id":0,"method":"hello",` + rawEnvelope + `,"params":` +
		`{"cluster":"chinook","sender":"a","incarnation":1,"receiver":"b","version":` + version + `}}`)
}

// Guards against violations of the protocol that do not end the connection or do not say why.
func TestViolationsCloseTheConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		frames [][]byte
		want   string
	}{
		{"oversize frame", [][]byte{rawHello("1"), binary.BigEndian.AppendUint32(nil, peerapi.MaxFrameBytes+1),
			make([]byte, 2<<20)}, "frame of 1048577 bytes is larger than the limit"},
		{"oversize first frame", [][]byte{{0xff, 0xff, 0xff, 0xff}}, "frame of 4294967295 bytes"},
		{"not JSON", [][]byte{rawHello("1"), rawFrame("{")}, "frame is not a JSON-RPC message"},
		{"no handshake", [][]byte{rawFrame(`{"jsonrpc":"2.0","id":0,"method":"echo"}`)}, `the first request is \"echo\"`},
		{"two handshakes", [][]byte{rawHello("1"), rawHello("1")}, "handshake is complete already"},
		{"version", [][]byte{rawHello("2")}, "protocol version 2 is not supported"},
		{"same name", [][]byte{bytes.ReplaceAll(rawHello("1"), []byte(`"sender":"a"`), []byte(`"sender":"b"`))},
			`sender has the name of this instance`},
		{"no envelope", [][]byte{rawHello("1"), rawFrame(`{"jsonrpc":"2.0","method":"echo"}`)}, "has no envelope"},
		{"other sender", [][]byte{rawHello("1"), rawFrame(`{"jsonrpc":"2.0","method":"echo","meta":` +
			`{"c":"chinook","s":"c","i":1,"v":1}}`)}, "does not match the handshake"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork()
			n.set("a", "-")
			b := n.start(t, "b", nil)
			conn, err := net.Dial("tcp", b.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			for _, frame := range c.frames {
				_, _ = conn.Write(frame) // the receiver may have ended the connection already
			}
			_ = conn.SetReadDeadline(time.Now().Add(bound))
			text, err := io.ReadAll(conn)
			if err != nil || !strings.Contains(string(text), c.want) || !strings.Contains(string(text), `"method":"closing"`) {
				t.Errorf("read %q, %v", text, err)
			}
			_ = conn.Close()
			if e := wait(t, b.events, "rejection"); e.Kind != Rejected {
				t.Errorf("reported %+v", e)
			}
		})
	}
}

// Guards against frames that crash the receiver or disturb its other links.
func TestHostileFramesDoNoHarm(t *testing.T) {
	n := newNetwork()
	n.set("a", "-")
	b := n.start(t, "b", nil)
	c := n.start(t, "c", nil)
	members := rapid.SampledFrom([]string{
		`"jsonrpc":"2.0"`, `"id":0`, `"id":null`, `"id":"x"`, `"id":1e99`, `"id":{}`, `"method":"echo"`, `"method":"ping"`,
		`"method":"hello"`, `"method":null`, `"method":7`, `"params":null`, `"params":[]`, `"params":{"sender":7}`,
		`"result":null`, `"result":{}`, `"error":null`, `"error":{"code":1}`, `"error":"x"`, rawEnvelope, `"meta":null`, `"meta":7`,
	})
	message := rapid.Custom(func(r *rapid.T) string {
		return "{" + strings.Join(rapid.SliceOfN(members, 0, 6).Draw(r, "members"), ",") + "}"
	})
	frame := rapid.OneOf(message, rapid.SampledFrom([]string{"", "null", "[]", "[null]", "[{}]", `""`, "{}{}", "{}x"}),
		rapid.Map(message, func(m string) string { return "[" + m + "]" }), rapid.String())
	rapid.Check(t, func(r *rapid.T) {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			r.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if rapid.Bool().Draw(r, "greets") {
			_, _ = conn.Write(rawHello("1"))
		}
		for _, f := range rapid.SliceOfN(frame, 1, 5).Draw(r, "frames") {
			_, _ = conn.Write(rawFrame(f)) // the receiver may have ended the connection already
		}
		if err := c.Call(context.Background(), "b", "echo", 1, nil); err != nil {
			r.Errorf("another link: %v", err)
		}
	})
}

// Guards against waiting for ever on a peer that is frozen or gone without closing its connection.
func TestFrozenPeers(t *testing.T) {
	quick := func(o *Options) {
		o.PingInterval, o.PingTimeout, o.DialTimeout = 5*time.Millisecond, 50*time.Millisecond, 300*time.Millisecond
	}
	for _, c := range []struct {
		name   string
		greets bool
		want   string
		notRun bool
	}{
		{"frozen before the handshake", false, "handshake with b", true},
		{"frozen after the handshake", true, "connection to b ended", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork()
			l := listen(t)
			n.set("b", l.Addr().String())
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { _ = conn.Close() }) // open and silent until then
				if !c.greets {
					return
				}
				reader := bufio.NewReader(conn)
				header := make([]byte, headerBytes)
				_, _ = io.ReadFull(reader, header)
				_, _ = reader.Discard(int(binary.BigEndian.Uint32(header)))
				_, _ = conn.Write(rawFrame(`{"jsonrpc":"2.0","id":0,"result":{"receiver":"b","incarnation":1}}`))
			}()
			a := n.start(t, "a", quick)
			err := a.Call(t.Context(), "b", "echo", 1, nil)
			if err == nil || !strings.Contains(err.Error(), c.want) || NotRun(err) != c.notRun {
				t.Errorf("error %v, not run %v", err, NotRun(err))
			}
		})
	}
	t.Run("half-open inbound", func(t *testing.T) {
		n := newNetwork()
		n.set("a", "-")
		b := n.start(t, "b", quick)
		for _, first := range [][]byte{rawHello("1"), nil} {
			conn, err := net.Dial("tcp", b.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = conn.Write(first)
			_ = conn.SetReadDeadline(time.Now().Add(bound))
			if _, err := io.ReadAll(conn); err != nil {
				t.Errorf("the connection was not closed: %v", err)
			}
		}
	})
}

// Guards against an instance that is locked out for ever because its clock was set back.
func TestOlderIncarnationIsAdmittedAfterAWhile(t *testing.T) {
	n := newNetwork()
	b := n.start(t, "b", nil)
	a := n.start(t, "a", nil)
	b.known.Add("a", knownIncarnation{9, time.Now().Add(-incarnationMemory - time.Second)})
	if err := a.Call(t.Context(), "b", "echo", 1, nil); err != nil {
		t.Error(err)
	}
}

// Guards against links that do not recover from a restart, and against an old process that takes over from its successor.
func TestRestartWithNewIncarnation(t *testing.T) {
	n := newNetwork()
	a := n.start(t, "a", nil)
	b := n.start(t, "b", nil)
	var got echo
	call := func(from *node, to string) bool { return from.Call(t.Context(), to, "echo", 1, &got) == nil }
	if !call(b, "a") {
		t.Fatal("first call failed")
	}
	b.stop()
	b2 := n.start(t, "b", func(o *Options) { o.Incarnation = 2 })
	eventually(t, "the restarted peer is reached", func() bool { return call(a, "b") })
	if !call(b2, "a") || got.From != (Sender{"b", 2}) {
		t.Errorf("the restarted peer is seen as %+v", got.From)
	}
	old := n.startOn(t, "b", listen(t), nil)
	err := old.Call(t.Context(), "a", "echo", 1, nil)
	if err == nil || !strings.Contains(err.Error(), `incarnation 1 of "b" is older than 2`) {
		t.Errorf("old incarnation: %v", err)
	}
	if !call(b2, "a") {
		t.Error("the old incarnation disturbed its successor")
	}
}

// Guards against links that do not recover after a cut or a long freeze, and against calls that wait for a frozen link
// without end.
func TestLinkFaultsHeal(t *testing.T) {
	n := newNetwork()
	b := n.start(t, "b", nil)
	r, err := relay.New(b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	n.set("b", r.Addr())
	a := n.start(t, "a", func(o *Options) {
		o.PingInterval, o.PingTimeout, o.DialTimeout = 5*time.Millisecond, 50*time.Millisecond, 100*time.Millisecond
	})
	reached := func() bool { return a.Call(t.Context(), "b", "echo", 1, nil) == nil }
	// A link without use is not dialled, so calls go on until the report.
	reported := func(kind EventKind) func() bool {
		return func() bool {
			_ = reached()
			select {
			case e := <-a.events:
				if e.Kind != kind || e.Peer != "b" {
					t.Errorf("reported %+v", e)
				}
				return true
			default:
				return false
			}
		}
	}
	for _, c := range []struct {
		name  string
		fault func()
	}{{"cut", r.Cut}, {"freeze", r.Freeze}} {
		eventually(t, "the peer is reached before the "+c.name, reached)
		c.fault()
		eventually(t, "the call fails after the "+c.name, func() bool { return !reached() })
		eventually(t, "report of the "+c.name, reported(Unreachable))
		r.Heal()
		eventually(t, "report of the recovery after the "+c.name, reported(Reachable))
	}
}

// Guards against a sender that fills the memory of its receiver with notifications or calls.
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
	// One notification is with its handler, two fit into the queue.
	eventually(t, "old notifications are dropped", func() bool { return b.metrics.dropped.Count() == 2 })
	results := make(chan error, 5)
	for range 5 {
		go func() { results <- a.Call(context.Background(), "b", "block", large, nil) }()
	}
	if err := wait(t, results, "refused call"); !NotRun(err) || !strings.Contains(err.Error(), "4 calls with 4000008 bytes") {
		t.Errorf("call beyond the bound: %v", err)
	}
	close(release)
	for range 4 {
		if err := wait(t, results, "call within the bound"); err != nil {
			t.Error(err)
		}
	}
}

// Guards against notifications out of order, and against queues without a bound or that keep old messages.
func TestNotificationsDropOldest(t *testing.T) {
	n := newNetwork()
	l := listen(t)
	n.set("b", l.Addr().String())
	a := n.start(t, "a", func(o *Options) { o.QueueLength = 8 })
	// The kernel accepts the connection, but nobody shakes hands before startOn.
	for i := range 20 {
		if err := a.Notify("b", peerapi.MethodRaftMessage, i); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.Notify("b", peerapi.MethodRaftMessage, strings.Repeat("x", peerapi.MaxFrameBytes)); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("large notification: %v", err)
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
		t.Errorf("%d messages counted as dropped, want 12", dropped)
	}
	cancel()
	if err := wait(t, ended, "end of Serve"); err != nil {
		t.Error(err)
	}
}

// Guards against consensus and lease messages that wait behind bulk ones for the byte limit.
func TestUrgentPassesBulk(t *testing.T) {
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
		t.Error("the byte limit let a second bulk message pass")
	}
	if a.metrics.sentBytes.Count() < 700_000 || b.metrics.receivedMessages.Count() < 6 {
		t.Error("the counters miss traffic")
	}
}

// Guards against links that keep bytes of the limit which they no longer need.
func TestClosedLinkReturnsItsBytes(t *testing.T) {
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
	for range 2 { // the second one must wait for 35 s
		if err := a.Notify("b", peerapi.MethodGossip, strings.Repeat("x", 700_000)); err != nil {
			t.Fatal(err)
		}
	}
	wait(t, bulk, "first bulk message")
	eventually(t, "the second message has booked its bytes", func() bool { return a.limit.limiter.Tokens() < 0 })
	nodes[0].stop()
	eventually(t, "the bytes are returned", func() bool { return a.limit.limiter.Tokens() > 0 })
	if err := a.Notify("c", peerapi.MethodGossip, strings.Repeat("x", 100_000)); err != nil {
		t.Fatal(err)
	}
	wait(t, bulk, "message on the other link")
}

// Guards against idle connections that stay open, and against calls that fail because one was closed.
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

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func (a *authority) issue(t *testing.T, name string) *TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), DNSNames: []string{name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: a.key == nil, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	if a.key == nil {
		a.certificate, a.key = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate == template {
		if a.certificate, err = x509.ParseCertificate(der); err != nil {
			t.Fatal(err)
		}
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return &TLS{Certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, Authority: pool}
}

// Guards against instances that use the certificate of another one.
func TestTLSNames(t *testing.T) {
	for _, c := range []struct{ name, senderCert, receiverCert, want string }{
		{"right names", "a", "b", ""},
		{"wrong sender", "c", "b", `certificate is for ["c"], want "a"`},
		{"wrong receiver", "a", "c", "not b"},
		{"wildcard", "a", "*", "TLS with b"},
		{"no TLS at the sender", "", "b", "handshake with b"},
		{"no TLS at the receiver", "a", "", "TLS with b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ca := &authority{}
			ca.issue(t, "authority")
			with := func(name string) func(*Options) {
				return func(o *Options) {
					if name != "" {
						o.TLS = ca.issue(t, name)
					}
				}
			}
			n := newNetwork()
			a := n.start(t, "a", with(c.senderCert))
			n.start(t, "b", with(c.receiverCert))
			err := a.Call(t.Context(), "b", "echo", 1, nil)
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}
