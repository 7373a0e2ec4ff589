package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tarragonhoist/tarragonhoist/standin/faultproxy"
)

// shortTimeouts shortens the timeouts after which a transport detects a peer that stopped responding.
func shortTimeouts(o *Options) {
	o.PingInterval, o.PingTimeout, o.DialTimeout = 5*time.Millisecond, 50*time.Millisecond, 300*time.Millisecond
}

// Guards against calls that hang on a peer that stops responding without closing its connection.
func TestCallToUnresponsivePeerFails(t *testing.T) {
	for _, c := range []struct {
		name      string
		handshake bool
		want      string
		notRun    bool
	}{
		{"frozen before the handshake", false, "handshake with b", true},
		{"frozen after the handshake", true, "connection to b ended", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork()
			l := listen(t)
			n.setAddress("b", l.Addr().String())
			go acceptAndFreeze(t, l, c.handshake)
			a := n.start(t, "a", shortTimeouts)
			err := a.Call(t.Context(), "b", "echo", 1, nil)
			if err == nil || !strings.Contains(err.Error(), c.want) || NotRun(err) != c.notRun {
				t.Errorf("error %v, not run %v", err, NotRun(err))
			}
		})
	}
}

// acceptAndFreeze accepts one connection, answers its handshake if requested, and then sends nothing more.
func acceptAndFreeze(t *testing.T, l net.Listener, handshake bool) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	t.Cleanup(func() { _ = conn.Close() })
	if !handshake {
		return
	}
	reader := bufio.NewReader(conn)
	header := make([]byte, headerBytes)
	_, _ = io.ReadFull(reader, header)
	_, _ = reader.Discard(int(binary.BigEndian.Uint32(header)))
	_, _ = conn.Write(rawFrame(`{"jsonrpc":"2.0","id":0,"result":{"receiver":"b","incarnation":1}}`))
}

// Guards against inbound connections that stay open when the peer sends nothing, before or after the handshake.
func TestSilentInboundConnectionsAreClosed(t *testing.T) {
	n := newNetwork()
	n.setAddress("a", "-")
	b := n.start(t, "b", shortTimeouts)
	for _, first := range [][]byte{rawHello("1"), nil} {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write(first)
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := io.ReadAll(conn); err != nil {
			t.Errorf("the connection was not closed: %v", err)
		}
	}
}

// Guards against an instance that is rejected permanently after its clock was set back, because its new incarnation is
// lower than the remembered one.
func TestOlderIncarnationIsAdmittedAfterRetention(t *testing.T) {
	n := newNetwork()
	b := n.start(t, "b", nil)
	a := n.start(t, "a", nil)
	b.knownIncarnations.Add("a", knownIncarnation{9, time.Now().Add(-DefaultIncarnationRetention - time.Second)})
	if err := a.Call(t.Context(), "b", "echo", 1, nil); err != nil {
		t.Error(err)
	}
}

// Guards against links that do not recover from the restart of a peer, and against an old process of the peer that
// replaces the connection of its successor.
func TestRestartWithNewIncarnation(t *testing.T) {
	n := newNetwork()
	a := n.start(t, "a", nil)
	b := n.start(t, "b", nil)
	var got echoResult
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
	old := n.startWithListener(t, "b", listen(t), nil)
	err := old.Call(t.Context(), "a", "echo", 1, nil)
	if err == nil || !strings.Contains(err.Error(), `incarnation 1 of "b" is older than 2`) {
		t.Errorf("old incarnation: %v", err)
	}
	if !call(b2, "a") {
		t.Error("the old incarnation broke the connection of its successor")
	}
}

// Guards against links that do not recover after a network cut or a long freeze, and against calls that hang on a
// frozen link.
func TestLinkRecoversFromNetworkFaults(t *testing.T) {
	n := newNetwork()
	b := n.start(t, "b", nil)
	r, err := faultproxy.New(b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	n.setAddress("b", r.Addr())
	a := n.start(t, "a", func(o *Options) {
		o.PingInterval, o.PingTimeout, o.DialTimeout = 5*time.Millisecond, 50*time.Millisecond, 100*time.Millisecond
	})
	reached := func() bool { return a.Call(t.Context(), "b", "echo", 1, nil) == nil }
	// An unused link is not dialled, so calls are repeated until the event is reported.
	reported := func(kind EventKind) func() bool {
		return func() bool {
			_ = reached()
			select {
			case e := <-a.events:
				if e.Kind != kind || e.Peer != "b" {
					t.Errorf("reported event %+v", e)
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
	}{{"cut", r.Disconnect}, {"freeze", r.Stall}} {
		eventually(t, "peer is reachable before the "+c.name, reached)
		c.fault()
		eventually(t, "call fails after the "+c.name, func() bool { return !reached() })
		eventually(t, "report of the "+c.name, reported(Unreachable))
		r.Heal()
		eventually(t, "report of the recovery after the "+c.name, reported(Reachable))
	}
}
