package replica

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
)

const (
	// MaxFetchBytes bounds the encoded size of a FetchResponse.
	MaxFetchBytes = 64 << 10
	// fetchBudgetBytes leaves room for field names and for base64 when the response is encoded as JSON.
	fetchBudgetBytes = 45 << 10
	// snapshotHoldTime is how long a parent keeps a snapshot that learners read in parts after it has a newer one.
	snapshotHoldTime = 30 * time.Second
)

// FetchRequest asks a parent for committed entries after an index. Part is set to continue an entry or snapshot that
// did not fit into one response.
type FetchRequest struct {
	Cluster string  `cbor:"1,keyasint,omitempty" json:"cluster,omitempty"`
	After   uint64  `cbor:"2,keyasint" json:"after"`
	Part    *PartID `cbor:"3,keyasint,omitempty" json:"part,omitempty"`
}

// PartID identifies a position in an encoded entry or a snapshot.
type PartID struct {
	Snapshot bool   `cbor:"1,keyasint,omitempty" json:"snapshot,omitempty"`
	Index    uint64 `cbor:"2,keyasint" json:"index"`
	Offset   int    `cbor:"3,keyasint" json:"offset"`
}

// Part is a piece of an encoded entry or of a snapshot.
type Part struct {
	PartID     PartID          `cbor:"1,keyasint" json:"id"`
	Term       uint64          `cbor:"2,keyasint,omitempty" json:"term,omitempty"`
	Membership raft.Membership `cbor:"3,keyasint,omitempty" json:"membership,omitempty"`
	Total      int             `cbor:"4,keyasint" json:"total"`
	Data       []byte          `cbor:"5,keyasint" json:"data"`
}

// FetchResponse holds either entries or a part. Applied is the applied index of the parent.
type FetchResponse struct {
	Cluster string       `cbor:"1,keyasint" json:"cluster"`
	Applied uint64       `cbor:"2,keyasint" json:"applied"`
	Entries []raft.Entry `cbor:"3,keyasint,omitempty" json:"entries,omitempty"`
	Part    *Part        `cbor:"4,keyasint,omitempty" json:"part,omitempty"`
}

// HandleFetch serves a fetch request of a learner. Every replica can serve one, so learners can form a tree.
func (g *Group) HandleFetch(ctx context.Context, r FetchRequest) (FetchResponse, error) {
	type answer struct {
		response FetchResponse
		err      error
	}
	answers := make(chan answer, 1)
	err := g.runInLoop(ctx, func(now time.Time) {
		response, err := g.serveFetch(now, &r)
		answers <- answer{response, err}
	})
	if err != nil {
		return FetchResponse{}, err
	}
	a := <-answers
	return a.response, a.err
}

func (g *Group) serveFetch(now time.Time, r *FetchRequest) (FetchResponse, error) {
	cluster := g.store.identity.Cluster
	response := FetchResponse{Cluster: cluster, Applied: g.node.Applied()}
	if cluster == "" {
		return response, errors.Errorf("fetch refused: %s does not belong to a cluster yet", g.opts.Self)
	}
	if r.Cluster != "" && r.Cluster != cluster {
		return response, errors.Errorf("fetch request is for cluster %s, but %s belongs to cluster %s", r.Cluster, g.opts.Self, cluster)
	}
	if r.Part != nil && r.Part.Snapshot || r.After < g.node.Applied() {
		return response, g.fillFetchResponse(now, r, &response)
	}
	return response, nil
}

func (g *Group) fillFetchResponse(now time.Time, r *FetchRequest, response *FetchResponse) error {
	entries, ok := g.node.AppliedAfter(r.After, fetchBudgetBytes)
	if !ok {
		response.Part = g.snapshotPart(now, r.Part)
		return nil
	}
	if len(entries) == 1 && len(entries[0].Data)+len(entries[0].ID) > fetchBudgetBytes {
		encoded, err := cbor.Marshal(entries[0])
		if err != nil {
			return errors.Wrap(err, "encode entry")
		}
		id := PartID{Index: entries[0].Index}
		if r.Part != nil && !r.Part.Snapshot && r.Part.Index == id.Index {
			id.Offset = r.Part.Offset
		}
		response.Part = cutPart(id, encoded)
		return nil
	}
	response.Entries = entries
	return nil
}

func cutPart(id PartID, data []byte) *Part {
	id.Offset = max(0, min(id.Offset, len(data)))
	end := min(id.Offset+fetchBudgetBytes, len(data))
	return &Part{PartID: id, Total: len(data), Data: data[id.Offset:end]}
}

// snapshotPart continues the snapshot that the learner started to read, if it is still held; otherwise it starts the
// latest one.
func (g *Group) snapshotPart(now time.Time, at *PartID) *Part {
	s := g.node.LastSnapshot()
	id := PartID{Snapshot: true, Index: s.Index}
	if at != nil && at.Snapshot {
		if at.Index == g.heldSnapshot.Index {
			s = g.heldSnapshot
		}
		if at.Index == s.Index {
			id.Index, id.Offset = s.Index, at.Offset
		}
	}
	if s.Index == g.heldSnapshot.Index || now.After(g.holdUntil) {
		g.heldSnapshot, g.holdUntil = s, now.Add(snapshotHoldTime)
	}
	part := cutPart(id, s.Data)
	part.Term, part.Membership = s.Term, s.Membership
	return part
}

// NotifyCommit reports that an index is committed on another instance, so that a replica that pulls does not wait for
// the end of its fetch interval.
func (g *Group) NotifyCommit(index uint64) {
	if index <= g.Status().Applied {
		return
	}
	select {
	case g.wakeFetch <- struct{}{}:
	default:
	}
}

// fetchLoop pulls from one parent until a fetch fails, then from the next one.
func (g *Group) fetchLoop(ctx context.Context) error {
	f := fetcher{group: g}
	for parent := 0; ; {
		names := g.opts.Parents()
		more := false
		if len(names) > 0 {
			var err error
			more, err = f.fetch(ctx, names[parent%len(names)])
			if errors.Is(err, errFatal) {
				return err
			}
			if err != nil && ctx.Err() == nil {
				g.setProblem("fetch from parent: " + err.Error())
				parent++
			} else {
				g.setProblem("")
			}
		}
		if more && ctx.Err() == nil {
			continue
		}
		select {
		case <-time.After(g.opts.FetchInterval):
		case <-g.wakeFetch:
		case <-ctx.Done():
			return nil
		}
	}
}

var errFatal = errors.New("data folder could not be bound to the cluster")

// fetcher collects the parts of one entry or snapshot. Entries up to the index after have been passed to the Raft node.
type fetcher struct {
	group *Group
	after uint64
	part  *Part
}

// fetch sends one request to a parent and reports whether there is more to fetch.
func (f *fetcher) fetch(ctx context.Context, parent string) (more bool, err error) {
	g := f.group
	s := g.Status()
	f.after = max(f.after, s.Applied)
	r := FetchRequest{Cluster: s.Cluster, After: f.after}
	if f.part != nil {
		id := f.part.PartID
		id.Offset = len(f.part.Data)
		r.Part = &id
	}
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := g.opts.Peers.Fetch(callCtx, parent, r)
	if err != nil {
		return false, err
	}
	apply, err := f.collect(&response)
	if err != nil {
		return false, err
	}
	result := make(chan error, 1)
	before := f.after
	err = g.runInLoop(ctx, func(time.Time) {
		err := g.applyResponse(&response, apply)
		f.after = g.node.Commit()
		result <- err
	})
	if err != nil {
		return false, err
	}
	if err := <-result; err != nil {
		return false, err
	}
	return f.part != nil || before < f.after && f.after < response.Applied, nil
}

// collect adds a part of the response. It returns a function that passes complete entries, or a complete snapshot, to
// the Raft node.
func (f *fetcher) collect(response *FetchResponse) (func(*raft.Node) error, error) {
	p := response.Part
	if p == nil {
		f.part = nil
		return func(n *raft.Node) error { return n.AppendCommitted(response.Entries) }, nil
	}
	if f.part == nil || f.part.PartID.Snapshot != p.PartID.Snapshot || f.part.PartID.Index != p.PartID.Index ||
		f.part.Total != p.Total || f.part.Term != p.Term {
		f.part = &Part{PartID: PartID{Snapshot: p.PartID.Snapshot, Index: p.PartID.Index}, Term: p.Term,
			Membership: p.Membership, Total: p.Total}
	}
	if p.PartID.Offset != len(f.part.Data) {
		f.part = nil
		return nil, errors.Errorf("fetched part at offset %d does not continue the previous part", p.PartID.Offset)
	}
	f.part.Data = append(f.part.Data, p.Data...)
	if len(f.part.Data) < f.part.Total {
		return func(*raft.Node) error { return nil }, nil
	}
	completed := f.part
	f.part = nil
	if completed.PartID.Snapshot {
		return func(n *raft.Node) error {
			n.InstallCommittedSnapshot(raft.Snapshot{Index: completed.PartID.Index, Term: completed.Term, Membership: completed.Membership, Data: completed.Data})
			return nil
		}, nil
	}
	var e raft.Entry
	if err := cbor.Unmarshal(completed.Data, &e); err != nil {
		return nil, errors.Wrapf(err, "decode entry %d", completed.PartID.Index)
	}
	return func(n *raft.Node) error { return n.AppendCommitted([]raft.Entry{e}) }, nil
}

// applyResponse checks the cluster of a response and passes its content to the Raft node. It runs in the goroutine of
// Run.
func (g *Group) applyResponse(response *FetchResponse, apply func(*raft.Node) error) error {
	id := &g.store.identity
	if id.Cluster == "" && response.Cluster != "" {
		if err := g.store.bindToCluster(response.Cluster, nil); err != nil {
			return errors.Wrap(errFatal, err.Error())
		}
		g.opts.OnEvent(EventClusterJoined, response.Cluster)
	}
	if response.Cluster != id.Cluster {
		return errors.Errorf("parent belongs to cluster %s, but this instance belongs to cluster %s", response.Cluster, id.Cluster)
	}
	g.knownCommit = max(g.knownCommit, response.Applied)
	if err := apply(g.node); err != nil {
		return errors.Wrap(err, fmt.Sprintf("process fetch response of a parent with applied index %d", response.Applied))
	}
	return nil
}
