package drain_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/tarragonhoist/tarragonhoist/instance/drain"
)

// Guards against a shutdown that aborts running requests or admits new ones.
func TestWaitReturnsAfterLastRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := drain.NewGate()
		gate.SetReady(true)
		leave, ok := gate.Enter()
		if !ok {
			t.Fatal("an open gate refused a request")
		}
		gate.Close()
		if gate.Ready() {
			t.Error("a closed gate is ready")
		}
		if _, ok := gate.Enter(); ok {
			t.Error("a closed gate admitted a request")
		}
		waited := make(chan error, 1)
		go func() { waited <- gate.Wait(context.Background()) }()
		synctest.Wait()
		select {
		case <-waited:
			t.Fatal("Wait returned while a request was in progress")
		default:
		}
		leave()
		leave() // a second call must not count twice
		if err := <-waited; err != nil {
			t.Error(err)
		}
	})
}

// Guards against a gate that becomes ready again during a shutdown.
func TestClosedGateStaysNotReady(t *testing.T) {
	gate := drain.NewGate()
	gate.Close()
	gate.SetReady(true)
	if gate.Ready() {
		t.Error("a closed gate became ready")
	}
}
