package replica

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
)

// pendingProposal is a proposal that this instance appended as leader and that is not applied yet.
type pendingProposal struct {
	id      string
	index   uint64
	term    uint64
	answers []chan ProposeResponse
}

func (g *Group) resolve(p *pendingProposal, r ProposeResponse) {
	delete(g.pendingByID, p.id)
	if g.pendingByIndex[p.index] == p {
		delete(g.pendingByIndex, p.index)
	}
	for _, answer := range p.answers {
		answer <- r
	}
}

// Propose commits a command under a new id and returns the result of the state machine. It can be called on every
// instance.
// The error is a *CommandError of the state machine, ErrNoQuorum when the command is not and will not be committed,
// ErrUnknownResult otherwise.
func (g *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return g.ProposeWithID(ctx, uuid.NewString(), command)
}

// ProposeWithID is like Propose, but with an id that the calling code chooses. A command with the id of a recent
// proposal is not applied again; the recorded result is returned. The results of the last 4096 proposals are recorded,
// or fewer if they exceed 4 MiB in total.
func (g *Group) ProposeWithID(ctx context.Context, id string, command []byte) ([]byte, error) {
	r, err := g.requestLeader(ctx, ProposeRequest{Kind: RequestCommand, ID: id, Base: g.Status().Applied, Command: command})
	if err != nil {
		return nil, err
	}
	if r.Failed {
		return nil, &CommandError{Message: r.Failure}
	}
	return r.Result, nil
}

// Barrier returns once this instance has applied everything that was committed before the call.
func (g *Group) Barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, g.opts.ProposeTimeout)
	defer cancel()
	r, err := g.requestLeader(ctx, ProposeRequest{Kind: RequestBarrier})
	if errors.Is(err, ErrUnknownResult) {
		return ErrNoQuorum // a barrier has no effect, so its result cannot be uncertain
	}
	if err != nil {
		return err
	}
	return errors.Wrapf(g.waitApplied(ctx, r.Index), "index %d is committed but not applied here", r.Index)
}

// Remove removes a voter or learner by instance name. The removed member id cannot join again.
func (g *Group) Remove(ctx context.Context, name string) error {
	_, err := g.requestLeader(ctx, ProposeRequest{Kind: RequestRemove, Member: name})
	return err
}

// requestLeader sends a request to the leader and retries until it succeeds or the context or Options.ProposeTimeout
// ends.
func (g *Group) requestLeader(ctx context.Context, r ProposeRequest) (ProposeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.ProposeTimeout)
	defer cancel()
	r.Cluster = g.Status().Cluster
	uncertain := false
	for attempt, hint := 0, ""; ; attempt++ {
		peer := g.pickPeer(hint, attempt)
		response, err := g.callPeer(ctx, peer, r)
		hint = ""
		switch {
		case errors.Is(err, ErrStopped) && !uncertain:
			return response, ErrStopped
		case err != nil:
			uncertain = uncertain || !errors.Is(err, ErrNotRun)
		case response.Outcome == OutcomeDone:
			return response, nil
		case response.Outcome == OutcomeRefused:
			return response, errors.Errorf("%s request refused by %s: %s", r.Kind, peer, response.Failure)
		case response.Outcome == OutcomeUnknown:
			uncertain = true
		case response.Outcome == OutcomeExpired && uncertain:
			return response, ErrUnknownResult
		case response.Outcome == OutcomeExpired:
			// No attempt was applied, so it is safe to propose the command again with a newer base index.
			r.Base = response.Index
			continue
		case response.Leader != peer:
			hint = response.Leader
		}
		if hint != "" && attempt%4 != 3 {
			continue
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			if uncertain {
				return ProposeResponse{}, ErrUnknownResult
			}
			return ProposeResponse{}, ErrNoQuorum
		}
	}
}

// pickPeer returns the hint if there is one, otherwise alternates between the known leader and the voters in turn.
func (g *Group) pickPeer(hint string, attempt int) string {
	if hint != "" {
		return hint
	}
	s := g.Status()
	if s.Leader != "" && attempt%2 == 0 {
		return s.Leader
	}
	names := g.voterNames()
	return names[attempt%len(names)]
}

// voterNames returns the names of the voters in the settings, of those in the current membership and of the contacts.
func (g *Group) voterNames() []string {
	names := slices.Clone(g.opts.Voters)
	g.mu.Lock()
	voters, contacts := g.status.Voters, g.contacts
	g.mu.Unlock()
	for _, id := range voters {
		if name := raft.MemberName(id); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, name := range contacts {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

func (g *Group) callPeer(ctx context.Context, peer string, r ProposeRequest) (ProposeResponse, error) {
	if peer == g.opts.Self {
		return g.handleLocally(ctx, &r)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return g.opts.Peers.Propose(ctx, peer, r)
}

// HandlePropose serves a request of another instance. It waits for the result no longer than the requester does, so
// that waiting requests do not accumulate while there is no quorum.
func (g *Group) HandlePropose(ctx context.Context, r ProposeRequest) (ProposeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := g.handleLocally(ctx, &r)
	if err != nil {
		// The request was not processed. An error would make the proposer treat the result as unknown.
		return ProposeResponse{Outcome: OutcomeNotLeader}, nil
	}
	return response, nil
}

func (g *Group) handleLocally(ctx context.Context, r *ProposeRequest) (ProposeResponse, error) {
	answer := make(chan ProposeResponse, 1)
	err := g.runInLoop(ctx, func(now time.Time) { g.serve(now, r, answer) })
	if err != nil {
		if !errors.Is(err, ErrStopped) {
			err = errors.Wrap(ErrNotRun, err.Error())
		}
		return ProposeResponse{}, err
	}
	select {
	case response := <-answer:
		return response, nil
	case <-g.done:
	case <-ctx.Done():
	}
	return ProposeResponse{Outcome: OutcomeUnknown}, nil
}

func (g *Group) serve(now time.Time, r *ProposeRequest, answer chan ProposeResponse) {
	id := &g.store.identity
	switch {
	case r.Kind == RequestMemberInfo:
		m := g.node.Membership()
		answer <- ProposeResponse{Outcome: OutcomeDone, Member: id.id(), Cluster: id.Cluster, Voters: g.opts.Voters,
			Removed: r.Member != "" && slices.Contains(m.Removed, r.Member) && g.node.MembershipIndex() <= g.node.Commit()}
	case r.Kind == RequestBootstrap:
		answer <- g.serveBootstrap(r)
	case r.Cluster != "" && id.Cluster != "" && r.Cluster != id.Cluster:
		answer <- refused("request is for cluster " + r.Cluster + ", but this instance belongs to cluster " + id.Cluster)
	case g.node.Role() != raft.Leader:
		answer <- ProposeResponse{Outcome: OutcomeNotLeader, Leader: raft.MemberName(g.node.Leader())}
	case r.Kind == RequestCommand:
		g.serveCommand(now, r, answer)
	case r.Kind == RequestBarrier:
		g.serveBarrier(now, answer)
	case r.Kind == RequestJoin:
		answer <- g.serveChange(now, r.Member, raft.ChangeJoin)
	case r.Kind == RequestRemove:
		answer <- g.serveChange(now, r.Member, raft.ChangeRemove)
	default:
		answer <- refused("unknown request kind " + string(r.Kind))
	}
}

func refused(failure string) ProposeResponse {
	return ProposeResponse{Outcome: OutcomeRefused, Failure: failure}
}

func (g *Group) serveCommand(now time.Time, r *ProposeRequest, answer chan ProposeResponse) {
	if r.ID == "" {
		answer <- refused("command request has no id")
		return
	}
	if recorded, ok := g.applier.table.records[r.ID]; ok {
		answer <- recorded.response()
		return
	}
	if p := g.pendingByID[r.ID]; p != nil && p.term == g.node.Term() {
		p.answers = append(p.answers, answer)
		return
	}
	index, term, err := g.node.Propose(now, r.ID, encodeCommand(r.Base, r.Command))
	if err != nil {
		answer <- refused(err.Error())
		return
	}
	p := &pendingProposal{id: r.ID, index: index, term: term, answers: []chan ProposeResponse{answer}}
	if earlier := g.pendingByID[r.ID]; earlier != nil {
		// An entry of an earlier term with this id is still in the log; the result of either entry answers all requests.
		p.answers = append(p.answers, earlier.answers...)
		delete(g.pendingByIndex, earlier.index)
	}
	g.pendingByID[r.ID], g.pendingByIndex[index] = p, p
}

func (g *Group) serveBarrier(now time.Time, answer chan ProposeResponse) {
	g.lastReadID++
	g.pendingReads[g.lastReadID] = func(read raft.ReadResult) {
		if read.LeadershipLost {
			answer <- ProposeResponse{Outcome: OutcomeNotLeader}
			return
		}
		answer <- ProposeResponse{Outcome: OutcomeDone, Index: read.Index}
	}
	if err := g.node.ReadIndex(now, g.lastReadID); err != nil {
		delete(g.pendingReads, g.lastReadID)
		answer <- ProposeResponse{Outcome: OutcomeNotLeader}
	}
}

func (g *Group) serveChange(now time.Time, member string, kind raft.ChangeKind) ProposeResponse {
	m := g.node.Membership()
	if kind == raft.ChangeRemove {
		ids := append(m.Voters, m.Learners...)
		i := slices.IndexFunc(ids, func(id string) bool { return raft.MemberName(id) == member })
		if i < 0 && g.node.MembershipIndex() <= g.node.Commit() {
			return ProposeResponse{Outcome: OutcomeDone}
		}
		if i < 0 {
			return ProposeResponse{Outcome: OutcomeNotCommitted}
		}
		member = ids[i]
	} else if name := raft.MemberName(member); !g.opts.Dynamic && !slices.Contains(g.opts.Voters, name) || !strings.Contains(member, "@") {
		return refused(name + " is not among the voters in the settings of the leader")
	}
	err := g.node.ProposeChange(now, raft.MembershipChange{Kind: kind, ID: member})
	switch {
	case err == nil && kind == raft.ChangeRemove:
		// The change is appended but not committed; the requester retries until the member is no longer listed.
		return ProposeResponse{Outcome: OutcomeNotCommitted}
	case err == nil:
		return ProposeResponse{Outcome: OutcomeDone}
	case errors.Is(err, raft.ErrChangePending):
		return ProposeResponse{Outcome: OutcomeNotCommitted}
	}
	response := refused(err.Error())
	for _, id := range m.Voters {
		response.Voters = append(response.Voters, raft.MemberName(id))
	}
	return response
}
