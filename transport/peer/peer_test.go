package peer

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// Guards against lost or swapped responses, and against errors that do not state whether the call may have run.
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
	var got echoResult
	if err := a.Call(t.Context(), "b", "echo", 7, &got); err != nil || got.From != (Sender{"a", 1}) || got.Params != 7.0 {
		t.Fatalf("echo returned %+v, error %v", got, err)
	}
	blocked := make(chan error, 1)
	for _, c := range []struct {
		name, peer, method string
		params             any
		notRun             bool
		want               string
	}{
		{"unknown peer", "z", "echo", nil, true, `address of peer "z" is not known`},
		{"itself", "a", "echo", nil, true, "is this instance"},
		{"unknown method", "b", "nothing", nil, true, "method nothing is not known"},
		{"handler error", "b", "fail", nil, false, "disk is full"},
		{"unencodable response", "b", "unencodable", nil, false, "encode the response"},
		{"large request", "b", "echo", strings.Repeat("x", peerapi.MaxFrameBytes), true, ErrFrameTooLarge.Error()},
		{"large response", "b", "large", nil, false, ErrFrameTooLarge.Error()},
		{"busy", "b", "echo", nil, true, "1 calls with 0 bytes are running already"},
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

// Guards against connections from unknown senders or to the wrong receiver, and against rejections without the reason.
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
		{"unknown sender", func(o *Options) { o.Self = "stranger" }, `instance "stranger" is not permitted to connect`},
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
				t.Errorf("Call returned error %v", err)
			}
			if e := wait(t, b.events, "rejection"); e.Kind != Rejected || !strings.Contains(e.Err.Error(), c.want) {
				t.Errorf("receiver reported event %+v", e)
			}
			if e := wait(t, a.events, "failure"); e.Kind != Unreachable || e.Peer != peer {
				t.Errorf("sender reported event %+v", e)
			}
		})
	}
}

// Guards against a call that is refused as busy because of a completed call whose response the sender has already
// read.
func TestCallRightAfterAResponse(t *testing.T) {
	n := newNetwork()
	a := n.start(t, "a", nil)
	n.start(t, "b", func(o *Options) { o.MaxInboundCalls = 1 })
	for i := range 2000 {
		var got echoResult
		if err := a.Call(t.Context(), "b", "echo", i, &got); err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
	}
}
