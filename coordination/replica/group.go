package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
)

const (
	inboxSize = 1024
	// maxEventsPerSync bounds how many messages and requests share one sync.
	maxEventsPerSync = 256
	// leadershipTransferTimeout bounds how long a stopping leader waits until another leader is elected.
	leadershipTransferTimeout = 500 * time.Millisecond
	// compactionKeepEntries is the number of applied entries that stay in the log after a snapshot, so that members and
	// learners that lag slightly need no snapshot.
	compactionKeepEntries = 512
	// reachabilityInterval is the interval at which a leader looks for members that do not answer.
	reachabilityInterval = 100 * time.Millisecond
)

// Group is the local replica of a Raft group.
type Group struct {
	opts  Options
	inbox chan raft.Message
	tasks chan func(now time.Time)
	// wakeFetch starts the next fetch before the fetch interval has passed.
	wakeFetch chan struct{}
	done      chan struct{}

	// The fields below belong to the goroutine of Run.
	store          *storage
	node           *raft.Node
	applier        *applier
	pendingByID    map[string]*pendingProposal
	pendingByIndex map[uint64]*pendingProposal
	pendingReads   map[uint64]func(raft.ReadResult)
	lastReadID     uint64
	logBytes       int // size of the entries applied since the last snapshot
	heldSnapshot   raft.Snapshot
	holdUntil      time.Time
	reportedLeader string
	// membership is a copy of the membership at membershipIndex. All copies of the status share its slices.
	membership      raft.Membership
	membershipIndex uint64
	knownCommit     uint64 // highest commit index received from a member or parent
	reachability    raft.Reachability
	reachabilityDue time.Time
	failure         error // of the disk, in a request; it ends Run

	mu      sync.Mutex
	status  Status
	waiters []waiter
	// contacts are members that this instance learned of while it is none itself: from messages to the member that it was
	// before it lost its disk, and from refused joins. It needs them once none of its seeds is a member any more.
	contacts []string
}

type waiter struct {
	index uint64
	done  chan struct{}
}

// Open reads the data folder and applies all entries that were known to be committed, so that the applied index is not
// lower than before the restart.
func Open(opts Options) (*Group, error) {
	if err := opts.validateAndSetDefaults(); err != nil {
		return nil, err
	}
	store, saved, cutBytes, err := openStorage(&opts)
	if err != nil {
		return nil, errors.WithMessagef(err, "replica: group %s", opts.Name)
	}
	g := &Group{opts: opts, store: store, inbox: make(chan raft.Message, inboxSize), tasks: make(chan func(time.Time)),
		wakeFetch: make(chan struct{}, 1), done: make(chan struct{}), pendingByID: make(map[string]*pendingProposal),
		pendingByIndex: make(map[uint64]*pendingProposal), pendingReads: make(map[uint64]func(raft.ReadResult)),
		applier: &applier{machine: opts.Machine, table: newDedupTable()}}
	if cutBytes > 0 {
		opts.OnEvent(EventIncompleteRecord, fmt.Sprintf("%d bytes", cutBytes))
	}
	if err := g.start(saved); err != nil {
		_ = store.close()
		return nil, errors.WithMessagef(err, "replica: group %s", opts.Name)
	}
	return g, nil
}

func (g *Group) start(saved raft.SavedState) error {
	if len(g.store.identity.Founders) > 0 && saved.Snapshot.Index == 0 {
		// The previous process stopped after the folder was bound to the new cluster and before its log was written.
		var err error
		if saved, err = g.store.installBootstrapSnapshot(); err != nil {
			return err
		}
	}
	if err := g.applier.restore(saved.Snapshot.Data); err != nil {
		return err
	}
	node, err := raft.New(raft.Config{ID: g.store.identity.id(), ElectionTimeout: g.opts.ElectionTimeout,
		HeartbeatInterval: g.opts.HeartbeatInterval, Rand: g.opts.Rand, MaxEntryBytes: g.opts.MaxEntryBytes}, saved)
	if err != nil {
		return err
	}
	g.node = node
	return g.processReady(time.Now())
}

// Run runs the replica until the context ends or the disk fails, and then closes the data folder. It must be called
// only once.
func (g *Group) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.loop(ctx) })
	if g.opts.isVoter() {
		group.Go(func() error { return g.joinLoop(ctx) })
	} else {
		group.Go(func() error { return g.fetchLoop(ctx) })
	}
	err := group.Wait()
	if closeErr := g.store.close(); err == nil {
		err = closeErr
	}
	return errors.WithMessagef(err, "replica: group %s", g.opts.Name)
}

func (g *Group) loop(ctx context.Context) error {
	defer close(g.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return g.transferLeadership()
		case m := <-g.inbox:
			if err := g.step(time.Now(), m); err != nil {
				return err
			}
		case call := <-g.tasks:
			call(time.Now())
		case <-timer.C:
		}
		if err := g.handleQueued(); err != nil {
			return err
		}
		if g.failure != nil {
			return g.failure
		}
		now := time.Now()
		if g.opts.isVoter() {
			g.node.Tick(now)
			g.checkReachability(now)
		}
		if err := g.processReady(now); err != nil {
			return err
		}
		if g.opts.isVoter() {
			timer.Reset(time.Until(g.node.Deadline()))
		}
	}
}

// checkReachability removes a member that has been unreachable for too long, and reports a change of what the leader
// knows of the other members. An operator needs that to tell why a change was refused or got no clear answer.
func (g *Group) checkReachability(now time.Time) {
	if now.Before(g.reachabilityDue) {
		return
	}
	g.reachabilityDue = now.Add(reachabilityInterval)
	g.removeUnreachableMember(now)
	r := g.node.Reachability(now)
	if r.Equal(&g.reachability) {
		return
	}
	g.reachability = r
	if g.node.Role() == raft.Leader {
		g.opts.OnEvent(EventReachability, fmt.Sprintf("unreachable %v, waiting for a place %v, %d further losses leave a majority",
			r.Unreachable, r.Waiting, r.FurtherLosses))
	}
}

// removeUnreachableMember proposes the removal of a member that has been unreachable for longer than
// Options.UnreachableTimeouts allow, so that it no longer counts towards the quorum size or takes the place of another.
func (g *Group) removeUnreachableMember(now time.Time) {
	if !g.opts.Dynamic || g.opts.UnreachableTimeouts.WithoutReplacement == 0 {
		return
	}
	id, ok := g.node.MemberToRemove(now, g.opts.UnreachableTimeouts)
	if !ok {
		return
	}
	if err := g.node.ProposeChange(now, raft.MembershipChange{Kind: raft.ChangeRemove, ID: id}); err == nil {
		g.opts.OnEvent(EventMembership, "proposed removal of unreachable member "+id)
	}
}

// transferLeadership transfers leadership when this replica stops as leader, so that the group does not wait for an
// election timeout. It handles messages until this replica is no longer leader or leadershipTransferTimeout has passed.
func (g *Group) transferLeadership() error {
	deadline := time.NewTimer(leadershipTransferTimeout)
	defer deadline.Stop()
	for transferring := false; g.node.Role() == raft.Leader && len(g.membership.Voters) > 1; {
		transferring = transferring || g.node.TransferLeadership()
		if err := g.processReady(time.Now()); err != nil {
			return err
		}
		select {
		case m := <-g.inbox:
			if err := g.step(time.Now(), m); err != nil {
				return err
			}
		case <-deadline.C:
			return nil
		}
	}
	// Sync and send the vote for the new leader.
	return g.processReady(time.Now())
}

// handleQueued handles messages and requests that are already queued, so that they share one sync.
func (g *Group) handleQueued() error {
	for range maxEventsPerSync {
		select {
		case m := <-g.inbox:
			if err := g.step(time.Now(), m); err != nil {
				return err
			}
		case call := <-g.tasks:
			call(time.Now())
		default:
			return nil
		}
	}
	return nil
}

// HandleMessage queues a message of another member. It does not block; the message is dropped when the queue is full.
func (g *Group) HandleMessage(m raft.Message) {
	select {
	case g.inbox <- m:
	default:
	}
}

// step passes a message to the Raft node if it belongs to this cluster and this incarnation of the disk. An instance
// that belongs to no cluster joins the cluster of the first message that is addressed to its member id, because only a
// member of that cluster can know the id.
func (g *Group) step(now time.Time, m raft.Message) error {
	id := &g.store.identity
	if !g.opts.isVoter() || m.To != id.id() || m.Cluster == "" {
		if m.Cluster != "" && id.Cluster == "" && raft.MemberName(m.To) == g.opts.Self {
			g.addContacts(raft.MemberName(m.From))
		}
		g.opts.OnEvent(EventMessageRefused, fmt.Sprintf("%v from %s for %s", m.Type, m.From, m.To))
		return nil
	}
	if id.Cluster == "" {
		if err := g.store.bindToCluster(m.Cluster, nil); err != nil {
			return err
		}
		g.opts.OnEvent(EventClusterJoined, m.Cluster)
	}
	if m.Cluster != id.Cluster {
		g.setProblem(fmt.Sprintf("message from %s is for cluster %s, but this instance belongs to cluster %s", m.From, m.Cluster, id.Cluster))
		return nil
	}
	g.knownCommit = max(g.knownCommit, m.Commit)
	if err := g.node.Step(now, m); err != nil {
		g.opts.OnEvent(EventMessageRefused, err.Error())
	}
	return nil
}

// maxContacts bounds Group.contacts to twice the members of a group.
const maxContacts = 2 * raft.MaxVoters

// addContacts records members that this instance learned of while it is none itself. The latest replace the oldest.
func (g *Group) addContacts(names ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	contacts := slices.DeleteFunc(slices.Clone(g.contacts), func(old string) bool { return slices.Contains(names, old) })
	contacts = append(contacts, names...)
	g.contacts = contacts[max(len(contacts)-maxContacts, 0):]
}

func (g *Group) setProblem(text string) {
	g.mu.Lock()
	changed := g.status.Problem != text
	g.status.Problem = text
	g.mu.Unlock()
	if changed && text != "" {
		g.opts.OnEvent(EventJoinFailed, text)
	}
}

// processReady processes the Ready values of the Raft node in the order that Raft requires: save, send, apply,
// advance. It then takes a snapshot if one is due and updates the status.
func (g *Group) processReady(now time.Time) error {
	before := g.node.Applied()
	for {
		r, ok := g.node.Ready()
		if !ok {
			break
		}
		if err := g.store.save(&r); err != nil {
			return err
		}
		for _, m := range r.Messages {
			m.Cluster = g.store.identity.Cluster
			g.opts.Sender.Send(raft.MemberName(m.To), m)
		}
		if r.Snapshot != nil {
			if err := g.restore(r.Snapshot); err != nil {
				return err
			}
		}
		for i := range r.Committed {
			g.apply(&r.Committed[i])
		}
		for _, read := range r.Reads {
			g.pendingReads[read.ID](read)
			delete(g.pendingReads, read.ID)
		}
		g.node.Advance(now, r)
	}
	if err := g.maybeSnapshot(); err != nil {
		return err
	}
	g.publishStatus(now)
	if applied := g.node.Applied(); applied > before {
		g.opts.OnApply(applied)
	}
	return nil
}

func (g *Group) restore(s *raft.Snapshot) error {
	if err := g.applier.restore(s.Data); err != nil {
		return err
	}
	g.logBytes = 0
	g.opts.OnEvent(EventSnapshotInstalled, fmt.Sprintf("index %d, %d bytes", s.Index, len(s.Data)))
	for id, p := range g.pendingByID {
		if r, ok := g.applier.table.records[id]; ok {
			g.resolve(p, r.response())
		} else if p.index <= s.Index {
			g.resolve(p, ProposeResponse{Outcome: OutcomeUnknown})
		}
	}
	return nil
}

func (g *Group) apply(e *raft.Entry) {
	g.logBytes += len(e.Data)
	response := g.applier.apply(e)
	if p := g.pendingByID[e.ID]; p != nil && e.Kind == raft.EntryCommand {
		g.resolve(p, response)
	}
	if p := g.pendingByIndex[e.Index]; p != nil {
		// A different entry was committed at this index, so the proposed one was overwritten.
		g.resolve(p, ProposeResponse{Outcome: OutcomeNotCommitted})
	}
}

func (g *Group) maybeSnapshot() error {
	applied, last := g.node.Applied(), g.node.LastSnapshot()
	if applied-last.Index < g.opts.SnapshotEvery && (g.logBytes < max(g.opts.SnapshotBytes, len(last.Data)) || applied == last.Index) {
		return nil
	}
	data, err := g.applier.snapshot()
	if err != nil {
		return err
	}
	keepAfter := applied - min(applied, min(compactionKeepEntries, g.opts.SnapshotEvery/2))
	snapshot, err := g.node.Compact(applied, keepAfter, data)
	if err != nil {
		return err
	}
	if err := g.store.saveSnapshot(&snapshot, keepAfter); err != nil {
		return err
	}
	g.logBytes = 0
	g.opts.OnEvent(EventSnapshotWritten, fmt.Sprintf("index %d, %d bytes", applied, len(data)))
	return nil
}

func (g *Group) publishStatus(now time.Time) {
	changed := g.membershipIndex != g.node.MembershipIndex()
	if changed {
		g.membership, g.membershipIndex = g.node.Membership(), g.node.MembershipIndex()
	}
	m := &g.membership
	s := Status{ID: g.node.ID(), Cluster: g.store.identity.Cluster, Voter: m.IsVoter(g.node.ID()), Role: g.node.Role().String(),
		Leader: raft.MemberName(g.node.Leader()), Term: g.node.Term(), Commit: g.node.Commit(), Applied: g.node.Applied(),
		Voters: m.Voters, Learners: m.Learners, Reachability: g.reachability,
		CaughtUpAt: g.node.CaughtUpAt(now)}
	if !g.opts.isVoter() {
		s.Role = "learner"
	}
	commitKnown := g.node.Leader() != "" || !g.opts.isVoter() && g.knownCommit > 0
	s.CaughtUp = commitKnown && s.Applied >= g.knownCommit
	g.mu.Lock()
	s.Problem = g.status.Problem
	if s.Voter {
		s.Problem = ""
	}
	g.status = s
	g.waiters = slices.DeleteFunc(g.waiters, func(w waiter) bool {
		if w.index <= s.Applied {
			close(w.done)
			return true
		}
		return false
	})
	g.mu.Unlock()
	if s.Leader != g.reportedLeader {
		g.reportedLeader = s.Leader
		g.opts.OnEvent(EventLeader, fmt.Sprintf("%q in term %d", s.Leader, s.Term))
	}
	if changed {
		g.opts.OnEvent(EventMembership, fmt.Sprintf("voters %v, learners %v", s.Voters, s.Learners))
	}
}

// Status returns the current status. Its slices must not be modified.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status
}

// runInLoop queues a function for the goroutine of Run. It returns ErrStopped or the error of the context when the
// function will not run.
func (g *Group) runInLoop(ctx context.Context, call func(now time.Time)) error {
	select {
	case g.tasks <- call:
		return nil
	case <-g.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitApplied waits until this replica has applied an index.
func (g *Group) waitApplied(ctx context.Context, index uint64) error {
	g.mu.Lock()
	if g.status.Applied >= index {
		g.mu.Unlock()
		return nil
	}
	w := waiter{index: index, done: make(chan struct{})}
	g.waiters = append(g.waiters, w)
	g.mu.Unlock()
	g.NotifyCommit(index)
	defer g.dropWaiter(w)
	select {
	case <-w.done:
		return nil
	case <-g.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Group) dropWaiter(w waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiters = slices.DeleteFunc(g.waiters, func(other waiter) bool { return other.done == w.done })
}
