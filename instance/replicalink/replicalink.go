// Package replicalink carries the traffic of the replicated logs over the links between instances.
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

// Message is a consensus message of one group.
type Message struct {
	Group   string       `json:"group"`
	Message raft.Message `json:"message"`
}

// Propose is a proposal to one group.
type Propose struct {
	Group   string                 `json:"group"`
	Request replica.ProposeRequest `json:"request"`
}

// Fetch asks for entries of one group.
type Fetch struct {
	Group   string               `json:"group"`
	Request replica.FetchRequest `json:"request"`
}

// Link connects one group with the same group on other instances. It implements replica.Sender and replica.Caller.
type Link struct {
	group string
	peers Peers
}

// New makes the link of a group.
func New(group string, peers Peers) *Link { return &Link{group: group, peers: peers} }

// Send implements replica.Sender. Lost messages are sent again by the consensus core.
func (l *Link) Send(peer string, m raft.Message) {
	_ = l.peers.Notify(peer, peerapi.MethodRaftMessage, Message{Group: l.group, Message: m})
}

// Propose implements replica.Caller.
func (l *Link) Propose(ctx context.Context, peer string, r replica.ProposeRequest) (replica.ProposeResponse, error) {
	var response replica.ProposeResponse
	err := l.peers.Call(ctx, peer, peerapi.MethodRaftPropose, Propose{Group: l.group, Request: r}, &response)
	return response, notSent(err)
}

// Fetch implements replica.Caller.
func (l *Link) Fetch(ctx context.Context, peer string, r replica.FetchRequest) (replica.FetchResponse, error) {
	var response replica.FetchResponse
	err := l.peers.Call(ctx, peer, peerapi.MethodRaftFetch, Fetch{Group: l.group, Request: r}, &response)
	return response, notSent(err)
}

// notSent marks an error after which the call certainly did not run.
func notSent(err error) error {
	if err != nil && transport.NotRun(err) {
		return errors.Wrap(replica.ErrNotSent, err.Error())
	}
	return err
}

// Groups are the groups of this instance by name.
type Groups map[string]*replica.Group

// HandleMessage takes a consensus message.
func (g Groups) HandleMessage(m Message) error {
	group, err := g.find(m.Group)
	if err == nil {
		group.HandleMessage(m.Message)
	}
	return err
}

// HandlePropose takes a proposal.
func (g Groups) HandlePropose(ctx context.Context, p Propose) (replica.ProposeResponse, error) {
	group, err := g.find(p.Group)
	if err != nil {
		return replica.ProposeResponse{}, err
	}
	return group.HandlePropose(ctx, p.Request)
}

// HandleFetch serves entries.
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
