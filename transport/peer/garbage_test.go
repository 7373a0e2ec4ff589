package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against malformed answers to the calls of a process, in whole frames and in parts of them, that crash it or break its links to other
// peers. The reader of a link runs outside of any handler.
func TestMalformedAnswersDoNotAffectOtherLinks(t *testing.T) {
	n := newNetwork()
	b := n.start(t, "b", func(o *Options) { o.MinBackoff, o.MaxBackoff = time.Millisecond, time.Millisecond })
	n.start(t, "c", nil)
	listener := listen(t)
	n.setAddress("a", listener.Addr().String())
	var mu sync.Mutex
	var answers []byte
	played := 0
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				_, _ = conn.Read(make([]byte, 1<<10)) // the handshake
				mu.Lock()
				written := answers
				played++
				mu.Unlock()
				_, _ = conn.Write(written) // fails when the link has closed the connection already
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = conn.Read(make([]byte, 1<<10))
			}()
		}
	}()
	frame := rapid.SampledFrom([]string{"", "null", "[]", "[{}]", "7", "{", `{"jsonrpc":"2.0","id":0,"result":null}`, `{"jsonrpc":"2.0","id":0,"result":{}}`,
		`{"jsonrpc":"2.0","id":0,` + rawEnvelope + `,"result":{"cluster":"chinook","sender":"a","incarnation":1,"receiver":"b","version":1}}`,
		`{"jsonrpc":"2.0","id":0,"error":null}`, `{"jsonrpc":"2.0","id":0,"error":{"code":"x"}}`, `{"jsonrpc":"2.0","id":1e99,"result":{}}`,
		`{"jsonrpc":"2.0","id":1,"result":[]}`, `{"jsonrpc":"2.0","method":"closing","params":null}`, `{"jsonrpc":"2.0","method":"ping","params":7}`})
	rapid.Check(t, func(r *rapid.T) {
		var list []byte
		for _, f := range rapid.SliceOfN(frame, 1, 4).Draw(r, "frames") {
			list = append(list, rawFrame(f)...)
		}
		mu.Lock()
		answers = list[:rapid.IntRange(0, len(list)).Draw(r, "cut")]
		before := played
		mu.Unlock()
		for deadline := time.Now().Add(testTimeout); ; {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
			var result string
			err := b.Call(ctx, "a", "echo", "x", &result)
			cancel()
			if err == nil {
				r.Errorf("a malformed answer counts as %q", result)
			}
			mu.Lock()
			done := played > before
			mu.Unlock()
			if done {
				break
			}
			if time.Now().After(deadline) {
				r.Fatal("no connection was opened")
			}
		}
		if err := b.Call(context.Background(), "c", "echo", 1, nil); err != nil {
			r.Errorf("call on another link: %v", err)
		}
	})
}
