package upstream_test

import (
	"context"
	"net"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

// Guards against idle connections to many targets that use up the descriptors, and against a count that is not given back.
func TestIdleConnectionsOfAllTargetsAreBounded(t *testing.T) {
	client := upstream.New(upstream.Dialer(time.Second), metrics.NewRegistry())
	client.LimitIdle(1)
	connect := func(want bool) (address string) {
		t.Helper()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		address = l.Addr().String()
		if err := client.Connect(context.Background(), address); err != nil {
			t.Fatal(err)
		}
		if got := client.HasIdle(time.Now(), address); got != want {
			t.Errorf("idle connection kept %t, want %t", got, want)
		}
		return address
	}
	address := connect(true)
	connect(false)
	request := &upstream.Request{Method: "GET", URI: "/", Host: "h", Deadline: time.Now().Add(100 * time.Millisecond)}
	if _, err := client.Do(context.Background(), address, request); err == nil { // takes the idle connection, and gets no answer
		t.Fatal("a target that does not answer answered")
	}
	connect(true)
	client.CloseIdle(time.Now(), func(string) bool { return false })
	connect(true)
}
