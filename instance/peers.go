package instance

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/admission"
	"github.com/tarragonhoist/tarragonhoist/coordination/controllerlease"
	"github.com/tarragonhoist/tarragonhoist/coordination/loadlimit"
	"github.com/tarragonhoist/tarragonhoist/instance/crashsuspects"
	"github.com/tarragonhoist/tarragonhoist/instance/replicalink"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/state/electorate"
	"github.com/tarragonhoist/tarragonhoist/transport/peer"
)

// typedHandler returns a handler that decodes the JSON parameters into P and calls serve.
func typedHandler[P, R any](serve func(ctx context.Context, from peer.Sender, params P) (R, error)) peer.Handler {
	return func(ctx context.Context, from peer.Sender, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, errors.Wrap(err, "decode method parameters")
		}
		return serve(ctx, from, params)
	}
}

// handlers returns the handlers of the methods that other instances can call, by method name.
func (i *Instance) handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		peerapi.MethodRaftMessage: typedHandler(func(_ context.Context, _ peer.Sender, m replicalink.Message) (peerapi.Empty, error) {
			return peerapi.Empty{}, i.groups.HandleMessage(m)
		}),
		peerapi.MethodRaftPropose: typedHandler(func(ctx context.Context, _ peer.Sender, p replicalink.Propose) (any, error) {
			return i.groups.HandlePropose(ctx, p)
		}),
		peerapi.MethodRaftFetch: typedHandler(func(ctx context.Context, _ peer.Sender, f replicalink.Fetch) (any, error) {
			return i.groups.HandleFetch(ctx, f)
		}),
		peerapi.MethodGossip: typedHandler(func(_ context.Context, _ peer.Sender, p peerapi.GossipPull) (any, error) {
			return i.targets.HandleGossip(p)
		}),
		peerapi.MethodTimeline: typedHandler(func(context.Context, peer.Sender, peerapi.Empty) (any, error) {
			return peerapi.TimelineResponse{Events: i.timeline.Local()}, nil
		}),
		peerapi.MethodControlVote: typedHandler(func(_ context.Context, _ peer.Sender, r controllerlease.VoteRequest) (any, error) {
			return i.lease.Vote(r)
		}),
		peerapi.MethodControlRecord: typedHandler(func(_ context.Context, _ peer.Sender, r electorate.JournalRecord) (any, error) {
			return i.lease.Record(r)
		}),
		peerapi.MethodUsage: typedHandler(func(_ context.Context, _ peer.Sender, u admission.Usage) (any, error) {
			i.usage.Handle(u)
			return peerapi.Empty{}, nil
		}),
		peerapi.MethodLoadLimitBorrow: typedHandler(func(_ context.Context, _ peer.Sender, r loadlimit.BorrowRequest) (any, error) {
			return i.director.Lend(r)
		}),
		peerapi.MethodLoadLimitReturn: typedHandler(func(_ context.Context, _ peer.Sender, r loadlimit.Return) (any, error) {
			return peerapi.Empty{}, i.director.HandleReturn(r)
		}),
		peerapi.MethodStrike: typedHandler(func(_ context.Context, _ peer.Sender, m crashsuspects.Message) (any, error) {
			return i.suspects.Handle(m)
		}),
		peerapi.MethodEngines: typedHandler(func(context.Context, peer.Sender, peerapi.Empty) (any, error) {
			return peerapi.EnginesResponse{Engines: i.feasibility.Engines()}, nil
		}),
		peerapi.MethodStatus: typedHandler(func(context.Context, peer.Sender, peerapi.Empty) (any, error) {
			return peerapi.StatusResponse{Applied: i.config.Status().Applied}, nil
		}),
	}
}
