package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
)

// joinLoop makes this instance a voter. A new group is bootstrapped only when every voter in the settings is reachable
// and belongs to no cluster; otherwise the instance asks the leader to add it. A new folder gets a new member id, so an
// instance that lost its disk is never counted as its former member.
func (g *Group) joinLoop(ctx context.Context) error {
	for {
		s := g.Status()
		switch {
		case s.Voter && (!g.opts.Dynamic || s.Leader != ""):
		case s.Voter:
			g.checkRemoved(ctx, s.ID)
		case s.Cluster != "":
			if !g.join(ctx) && g.opts.Dynamic {
				g.checkRemoved(ctx, s.ID)
			}
		default:
			if err := g.joinOrBootstrap(ctx); err != nil {
				return err
			}
		}
		select {
		case <-time.After(g.opts.JoinInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// join asks the leader to add this instance, and reports whether the leader took the request.
func (g *Group) join(ctx context.Context) bool {
	r := ProposeRequest{Kind: RequestJoin, Member: g.Status().ID}
	response, err := g.requestLeader(ctx, r)
	if err != nil && ctx.Err() == nil {
		g.addContacts(response.Voters...)
		g.setProblem("join group: " + err.Error())
	}
	return err == nil
}

// checkRemoved asks the other voters whether this member was removed. The leader sends nothing to a removed member and
// refuses its join, so it would otherwise wait for a leader or repeat its request indefinitely.
func (g *Group) checkRemoved(ctx context.Context, member string) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	cluster := g.Status().Cluster
	var removed atomic.Bool
	var wg sync.WaitGroup
	for _, peer := range g.voterNames() {
		if peer == g.opts.Self {
			continue
		}
		// One after the other, some that don't answer would leave no time for the others.
		wg.Go(func() {
			r, err := g.opts.Peers.Propose(ctx, peer, ProposeRequest{Kind: RequestMemberInfo, Member: member})
			if err == nil && r.Removed && r.Cluster == cluster {
				removed.Store(true)
				cancel()
			}
		})
	}
	wg.Wait()
	if removed.Load() {
		g.opts.OnEvent(EventMembership, member+" was removed from the group")
		g.opts.OnRemoved()
	}
}

// joinOrBootstrap joins the group if a voter reports that it exists. Otherwise the voter whose name sorts first
// bootstraps it once queryVoters finds no problem.
func (g *Group) joinOrBootstrap(ctx context.Context) error {
	members, exists, problem := g.queryVoters(ctx)
	if ctx.Err() != nil {
		return nil
	}
	if exists {
		g.join(ctx)
		return nil
	}
	g.setProblem(problem)
	if g.opts.Dynamic {
		return nil // a dynamic group is bootstrapped only by its founders, see Options.InitialVoters
	}
	if problem == "" && g.opts.Self == g.opts.Voters[0] {
		return g.bootstrapCluster(ctx, members)
	}
	return nil
}

// queryVoters collects the member ids of all voters. exists reports whether one belongs to a cluster. problem is empty
// if all others are reachable and have the same voters in their settings.
func (g *Group) queryVoters(ctx context.Context) (members []string, exists bool, problem string) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	members = []string{g.Status().ID}
	peers := g.opts.Voters
	if g.opts.Dynamic {
		peers = g.voterNames()
	}
	for _, peer := range peers {
		if peer == g.opts.Self {
			continue
		}
		wg.Go(func() {
			r, err := g.opts.Peers.Propose(ctx, peer, ProposeRequest{Kind: RequestMemberInfo})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				problem = fmt.Sprintf("voter %s is unreachable and no other voter reports an existing cluster: %v", peer, err)
			case r.Cluster != "":
				exists = true
			case !slices.Equal(r.Voters, g.opts.Voters):
				problem = fmt.Sprintf("voter %s has voters %v in its settings, this instance has %v", peer, r.Voters, g.opts.Voters)
			default:
				members = append(members, r.Member)
			}
		})
	}
	wg.Wait()
	return members, exists, problem
}

// bootstrapCluster bootstraps a new group. It notifies the other voters at once, so that they know the members of the
// cluster even if this disk is lost immediately afterwards.
func (g *Group) bootstrapCluster(ctx context.Context, members []string) error {
	cluster := newIncarnation()
	result := make(chan error, 1)
	bootstrapped := false
	err := g.runInLoop(ctx, func(time.Time) {
		var err error
		bootstrapped, err = g.bootstrapMember(cluster, members)
		result <- err
	})
	if err != nil {
		return nil // the group is stopping
	}
	if err := <-result; err != nil || !bootstrapped {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, peer := range g.opts.Voters {
		if peer != g.opts.Self {
			wg.Go(func() {
				// A voter that misses this request joins the cluster of the first message from a member.
				_, _ = g.opts.Peers.Propose(ctx, peer, ProposeRequest{Kind: RequestBootstrap, Cluster: cluster, Voters: members})
			})
		}
	}
	wg.Wait()
	return nil
}

func (g *Group) serveBootstrap(r *ProposeRequest) ProposeResponse {
	if r.Cluster == "" || !slices.Contains(r.Voters, g.store.identity.id()) || !g.opts.isVoter() {
		return refused(g.store.identity.id() + " is not among the founders in the request")
	}
	if _, err := g.bootstrapMember(r.Cluster, r.Voters); err != nil {
		return refused(err.Error())
	}
	return ProposeResponse{Outcome: OutcomeDone}
}

// bootstrapMember makes this instance, which must have an empty log, a member of a new cluster. It returns false when
// the instance already belongs to a cluster, which can happen between the answers of the other voters and this call.
func (g *Group) bootstrapMember(cluster string, members []string) (bool, error) {
	if g.store.identity.Cluster != "" {
		return false, nil
	}
	if g.node.LastIndex() != 0 {
		return false, errors.New("bootstrap: the log is not empty although this instance belongs to no cluster")
	}
	if g.failure = g.store.bindToCluster(cluster, members); g.failure != nil {
		return false, g.failure
	}
	g.opts.OnEvent(EventBootstrapped, fmt.Sprintf("cluster %s, members %v", cluster, members))
	g.failure = g.start(raft.SavedState{})
	return true, g.failure
}
