package controlinstance

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/transport/peer"
)

// notifyTimeout bounds notifying the other instances. It is below the second within which targets want their heartbeats
// acknowledged.
const notifyTimeout = 400 * time.Millisecond

// notifyMajority calls record here and a method at all other members, and reports whether a majority has acknowledged. What
// is then acknowledged to a target is not lost with this instance.
func (instance *Instance) notifyMajority(method string, params any, record func() error) bool {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	_, members := instance.control()
	acknowledged := make(chan bool, len(members)+1)
	go func() { acknowledged <- record() == nil }()
	for _, member := range members {
		if member == instance.opts.Name {
			continue
		}
		go func() {
			err := instance.peers.Call(ctx, member, method, params, &peerapi.Empty{})
			var remote *peer.RemoteError
			// An instance of an earlier build learns of it from the list of targets only.
			unknownMethod := errors.As(err, &remote) && remote.Code == jsonrpc2.CodeMethodNotFound
			acknowledged <- err == nil || unknownMethod
		}()
	}
	count := 0
	for range max(len(members), 1) {
		select {
		case ok := <-acknowledged:
			if ok {
				count++
			}
		case <-ctx.Done():
			return false
		}
		if count > len(members)/2 {
			return true
		}
	}
	return false
}
