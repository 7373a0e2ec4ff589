// Package replicalink sends and receives the messages of the replicated logs over the peer transport.
package replicalink

import (
	"context"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	transport "github.com/tarragonhoist/tarragonhoist/transport/peer"
)

// Peers calls and notifies other instances.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
	Notify(peer, method string, params any) error
}

// Message is a Raft message of one group.
type Message struct {
	Group   string       `json:"group"`
	Message raft.Message `json:"message"`
}

// Propose is the request for a proposal to one group.
type Propose struct {
	Group   string                 `json:"group"`
	Request replica.ProposeRequest `json:"request"`
}

// Fetch is the request of a learner for log entries of one group.
type Fetch struct {
	Group   string               `json:"group"`
	Request replica.FetchRequest `json:"request"`
}

// Link connects one group with the same group on other instances. It implements replica.Sender and replica.PeerClient.
type Link struct {
	group string
	peers Peers
}

// New returns the link of a group.
func New(group string, peers Peers) *Link { return &Link{group: group, peers: peers} }

// Send implements replica.Sender. Errors are ignored, since Raft retransmits lost messages.
func (l *Link) Send(peer string, m raft.Message) {
	_ = l.peers.Notify(peer, peerapi.MethodRaftMessage, Message{Group: l.group, Message: m})
}

// Propose implements replica.PeerClient.
func (l *Link) Propose(ctx context.Context, peer string, r replica.ProposeRequest) (replica.ProposeResponse, error) {
	var response replica.ProposeResponse
	err := l.peers.Call(ctx, peer, peerapi.MethodRaftPropose, Propose{Group: l.group, Request: r}, &response)
	return response, wrapNotRun(err)
}

// Fetch implements replica.PeerClient.
func (l *Link) Fetch(ctx context.Context, peer string, r replica.FetchRequest) (replica.FetchResponse, error) {
	var response replica.FetchResponse
	err := l.peers.Call(ctx, peer, peerapi.MethodRaftFetch, Fetch{Group: l.group, Request: r}, &response)
	return response, wrapNotRun(err)
}

// wrapNotRun wraps the error of a call that certainly did not run as replica.ErrNotRun.
func wrapNotRun(err error) error {
	if err != nil && transport.NotRun(err) {
		return errors.Wrap(replica.ErrNotRun, err.Error())
	}
	return err
}

// Groups holds the groups of this instance by name.
type Groups map[string]*replica.Group

// HandleMessage passes a Raft message to its group.
func (g Groups) HandleMessage(m Message) error {
	group, err := g.find(m.Group)
	if err == nil {
		group.HandleMessage(m.Message)
	}
	return err
}

// HandlePropose passes a proposal to its group.
func (g Groups) HandlePropose(ctx context.Context, p Propose) (replica.ProposeResponse, error) {
	group, err := g.find(p.Group)
	if err != nil {
		return replica.ProposeResponse{}, err
	}
	return group.HandlePropose(ctx, p.Request)
}

// HandleFetch returns log entries of a group.
func (g Groups) HandleFetch(ctx context.Context, f Fetch) (replica.FetchResponse, error) {
	group, err := g.find(f.Group)
	if err != nil {
		return replica.FetchResponse{}, err
	}
	return group.HandleFetch(ctx, f.Request)
}

func (g Groups) find(name string) (*replica.Group, error) {
	group, ok := g[name]
	if !ok {
		return nil, errors.Errorf("group %q does not exist on this instance", name)
	}
	return group, nil
}
