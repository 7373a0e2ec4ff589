package controlinstance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// connectedPeers answers watches as an instance that heard from a majority 100 ms ago.
type connectedPeers struct{}

func (connectedPeers) Call(ctx context.Context, _, _ string, _, result any) error {
	select {
	case <-time.After(time.Second / 2):
	case <-ctx.Done():
		return ctx.Err()
	}
	*result.(*fleetapi.WatchResponse) = fleetapi.WatchResponse{Epoch: 1, Contact: fleetapi.ContactRecent, ContactAgeMs: 100}
	return nil
}

// Guards against an instance that says that it knows the newest configuration while it withholds it after its start, against
// one outside the group that passes for cut off, and against ages that go round between control instances.
func TestContactThatAnInstanceNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := fleetview.New(nil, "", []string{"b"})
		watcher := fleetview.NewWatcher(view, connectedPeers{}, "a", true, func(string, error) {})
		options := replica.Options{Name: GroupName, Self: "a", Voters: []string{"a"}, Dynamic: true, InitialVoters: []string{"a"}, DataDir: t.TempDir(),
			Machine: routes.NewStore(func(routes.CompressedDocument) {}), Sender: simTransport{}, Peers: simTransport{},
			ElectionTimeout: electionTimeout, HeartbeatInterval: raftHeartbeatInterval}
		group, err := replica.Open(options)
		if err != nil {
			t.Fatal(err)
		}
		instance := &Instance{view: view, watcher: watcher, group: group, started: time.Now()}
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		go watcher.Run(ctx)
		age := func(gateway bool) time.Duration { return time.Since(instance.lastContact(gateway)) }
		time.Sleep(2 * time.Second)
		if at := instance.lastContact(true); !at.IsZero() {
			t.Fatalf("names contact at %v while it withholds the configuration", at)
		}
		instance.confirmed.Store(true)
		// The group does not run, so that the instance knows of contact from its watch only.
		if at := instance.lastContact(false); !at.IsZero() {
			t.Fatalf("tells a control instance of contact at %v that it does not have itself", at)
		}
		if age(true) > time.Second {
			t.Fatalf("tells gateways that the contact of the instance that it watches is %v old", age(true))
		}
		done := make(chan error, 1)
		go func() { done <- group.Run(ctx) }()
		time.Sleep(2 * time.Second)
		for _, gateway := range []bool{false, true} {
			if age(gateway) > 2*raftHeartbeatInterval {
				t.Errorf("gateway %t: the only member names contact %v ago", gateway, age(gateway))
			}
		}
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
