package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// rawFrame prepends the length prefix to JSON text.
func rawFrame(text string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

const rawEnvelope = `"meta":{"c":"chinook","s":"a","i":1,"v":1}`

func rawHello(version string) []byte {
	return rawFrame(`{"jsonrpc":"2.0","id":0,"method":"hello",` + rawEnvelope + `,"params":` +
		`{"cluster":"chinook","sender":"a","incarnation":1,"receiver":"b","version":` + version + `}}`)
}

// Guards against protocol violations after which the connection stays open or the sender is not told the reason.
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
			n.setAddress("a", "-")
			b := n.start(t, "b", nil)
			conn, err := net.Dial("tcp", b.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			for _, frame := range c.frames {
				_, _ = conn.Write(frame) // fails when the receiver has closed the connection already
			}
			_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
			text, err := io.ReadAll(conn)
			if err != nil || !strings.Contains(string(text), c.want) || !strings.Contains(string(text), `"method":"closing"`) {
				t.Errorf("read %q, error %v", text, err)
			}
			_ = conn.Close()
			if e := wait(t, b.events, "rejection"); e.Kind != Rejected {
				t.Errorf("reported event %+v", e)
			}
		})
	}
}

// Guards against malformed frames that crash the receiver or break its other connections.
func TestMalformedFramesDoNotAffectOtherConnections(t *testing.T) {
	n := newNetwork()
	n.setAddress("a", "-")
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
		if rapid.Bool().Draw(r, "sends hello") {
			_, _ = conn.Write(rawHello("1"))
		}
		for _, f := range rapid.SliceOfN(frame, 1, 5).Draw(r, "frames") {
			_, _ = conn.Write(rawFrame(f)) // fails when the receiver has closed the connection already
		}
		if err := c.Call(context.Background(), "b", "echo", 1, nil); err != nil {
			r.Errorf("call on another connection: %v", err)
		}
	})
}
