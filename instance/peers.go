package instance

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/instance/replicalink"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// handler serves one method of the peer links.
type handler func(ctx context.Context, peer string, params json.RawMessage) (any, error)

// typed makes a handler of a function with typed parameters.
func typed[P, R any](serve func(ctx context.Context, peer string, params P) (R, error)) handler {
	return func(ctx context.Context, peer string, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, errors.Wrap(err, "parameters")
		}
		return serve(ctx, peer, params)
	}
}

// handlers are the methods that this instance serves to others.
func (i *Instance) handlers() map[string]handler {
	return map[string]handler{
		peerapi.MethodRaftMessage: typed(func(_ context.Context, _ string, m replicalink.Message) (peerapi.Empty, error) {
			return peerapi.Empty{}, i.groups.HandleMessage(m)
		}),
		peerapi.MethodRaftPropose: typed(func(ctx context.Context, _ string, p replicalink.Propose) (any, error) {
			return i.groups.HandlePropose(ctx, p)
		}),
		peerapi.MethodRaftFetch: typed(func(ctx context.Context, _ string, f replicalink.Fetch) (any, error) {
			return i.groups.HandleFetch(ctx, f)
		}),
		peerapi.MethodGossip: typed(func(_ context.Context, _ string, p peerapi.GossipPull) (any, error) {
			return i.targets.HandleGossip(p)
		}),
		peerapi.MethodTimeline: typed(func(context.Context, string, peerapi.Empty) (any, error) {
			return peerapi.TimelineAnswer{Events: i.timeline.Local()}, nil
		}),
		peerapi.MethodStatus: typed(func(context.Context, string, peerapi.Empty) (any, error) {
			return peerapi.StatusAnswer{Applied: i.config.Status().Applied}, nil
		}),
	}
}
