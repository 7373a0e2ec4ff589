package raft

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// replicationMode is the replication mode of one follower.
type replicationMode uint8

const (
	probing      replicationMode = iota // one append at a time until the last matching entry is known
	replicating                         // appends are pipelined, up to MaxInflight without a response
	snapshotting                        // parts of a snapshot are sent one at a time
)

// snapshotRetryHeartbeats is the number of heartbeat intervals after which an unacknowledged snapshot part is sent
// again. Parts are large compared with the byte rate limit between instances, so they are not repeated with every
// heartbeat.
const snapshotRetryHeartbeats = 5

// progress is the replication state of one follower.
type progress struct {
	mode         replicationMode
	match, next  uint64
	probeSent    bool
	inflight     []uint64 // last index of each unacknowledged append
	lastContact  time.Time
	ackedReadSeq uint64

	snapshot       *Snapshot
	snapshotOffset int
	partSentAt     time.Time
}

func (n *Node) addProgress(now time.Time, id string) {
	if id == n.cfg.ID || n.progress[id] != nil {
		return
	}
	n.progress[id] = &progress{next: n.log.lastIndex() + 1, lastContact: now}
}

// Propose appends a command to the leader's log. It is committed once Ready returns an entry with this index and term
// in Committed.
func (n *Node) Propose(now time.Time, id string, data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, NotLeaderError{Leader: n.leader}
	}
	if len(data) > n.cfg.MaxEntryBytes {
		return 0, 0, errors.Wrapf(ErrEntryTooLarge, "%d bytes, limit %d", len(data), n.cfg.MaxEntryBytes)
	}
	return n.appendLocal(now, Entry{Kind: EntryCommand, ID: id, Data: data}), n.hardState.Term, nil
}

func (n *Node) appendLocal(now time.Time, e Entry) uint64 {
	e.Index, e.Term = n.log.lastIndex()+1, n.hardState.Term
	n.log.append(e)
	n.appendDue, n.flushTime = true, now
	return e.Index
}

// flushAppends sends the entries appended and the commit index reached since the last Ready. Proposals between two
// calls of Ready thus share messages as well as a sync.
func (n *Node) flushAppends() {
	if n.role == Leader && (n.appendDue || n.commitDue) {
		n.broadcastAppend(n.flushTime, n.commitDue)
	}
	n.appendDue, n.commitDue = false, false
}

func (n *Node) broadcastAppend(now time.Time, allowEmpty bool) {
	for _, id := range n.currentMembership().members() {
		if p := n.progress[id]; p != nil {
			n.sendAppends(now, id, p, allowEmpty)
		}
	}
}

// broadcastHeartbeat sends an append, without entries if there are none to send, to each follower that does not receive
// a snapshot. The follower rejects it if an earlier append was lost.
func (n *Node) broadcastHeartbeat(now time.Time) {
	for _, id := range n.currentMembership().members() {
		p := n.progress[id]
		if p == nil {
			continue
		}
		if p.mode == snapshotting {
			n.send(Message{Type: MsgHeartbeat, To: id, ReadSeq: n.readSeq})
			if now.Sub(p.partSentAt) >= snapshotRetryHeartbeats*n.cfg.HeartbeatInterval {
				n.sendSnapshotPart(now, id, p)
			}
			continue
		}
		p.probeSent = false
		n.sendAppends(now, id, p, true)
	}
}

func (n *Node) sendAppends(now time.Time, id string, p *progress, allowEmpty bool) {
	for p.mode != snapshotting {
		prev := p.next - 1
		term, ok := n.log.term(prev)
		if !ok {
			n.startSnapshot(now, id, p)
			return
		}
		var entries []Entry
		if !p.probeSent && len(p.inflight) < n.cfg.MaxInflight {
			entries = n.log.slice(p.next, n.log.lastIndex(), n.cfg.MaxMessageBytes)
		}
		if len(entries) == 0 && !allowEmpty {
			return
		}
		n.send(Message{Type: MsgAppend, To: id, Index: prev, LogTerm: term, Entries: entries,
			Commit: n.hardState.Commit, ReadSeq: n.readSeq})
		if len(entries) == 0 {
			return
		}
		allowEmpty = false
		if p.mode == probing {
			p.probeSent = true
			return
		}
		p.next = entries[len(entries)-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (n *Node) startSnapshot(now time.Time, id string, p *progress) {
	s := n.snapshot
	p.mode, p.snapshot, p.snapshotOffset, p.inflight, p.probeSent = snapshotting, &s, 0, nil, false
	n.sendSnapshotPart(now, id, p)
}

func (n *Node) sendSnapshotPart(now time.Time, id string, p *progress) {
	s := p.snapshot
	end := min(p.snapshotOffset+n.cfg.MaxMessageBytes, len(s.Data))
	p.partSentAt = now
	n.send(Message{Type: MsgSnapshot, To: id, ReadSeq: n.readSeq, Part: &SnapshotPart{Index: s.Index, Term: s.Term,
		Membership: s.Membership, Offset: p.snapshotOffset, Total: len(s.Data), Data: s.Data[p.snapshotOffset:end]}})
}

func (n *Node) handleFollowerMessage(now time.Time, m *Message) {
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.lastContact = now
	if m.ReadSeq > p.ackedReadSeq {
		p.ackedReadSeq = m.ReadSeq
		n.confirmReads()
	}
	switch {
	case m.Type == MsgSnapshotResponse:
		if p.mode == snapshotting && p.snapshot.Index == m.Index && int(m.Hint) != p.snapshotOffset && int(m.Hint) <= len(p.snapshot.Data) {
			p.snapshotOffset = int(m.Hint)
			n.sendSnapshotPart(now, m.From, p)
		}
	case m.Type == MsgAppendResponse && m.Reject:
		n.handleReject(now, m, p)
	case m.Type == MsgAppendResponse:
		n.handleAck(now, m, p)
	}
}

func (n *Node) handleReject(now time.Time, m *Message, p *progress) {
	if p.mode == snapshotting || m.Index <= p.match || m.Index >= p.next {
		return
	}
	hint := min(m.Hint, m.Index-1)
	if hint > n.log.baseIndex {
		hint, _ = n.log.findConflictByTerm(hint, m.HintTerm)
	}
	// With a hint below the base of the log, sendAppends starts a snapshot.
	p.next = max(hint, p.match) + 1
	p.mode, p.probeSent, p.inflight = probing, false, nil
	n.sendAppends(now, m.From, p, true)
}

func (n *Node) handleAck(now time.Time, m *Message, p *progress) {
	if m.Index > n.log.lastIndex() || p.mode == snapshotting && m.Index < p.snapshot.Index {
		return
	}
	advanced := m.Index > p.match
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.mode != replicating && m.Index >= p.match {
		p.mode, p.probeSent, p.snapshot, p.inflight = replicating, false, nil, nil
		p.next = p.match + 1
	}
	if advanced {
		n.maybeCommit(now)
	}
	if n.role != Leader || n.progress[m.From] != p {
		return
	}
	n.maybePromote(now, m.From, p)
	n.sendAppends(now, m.From, p, false)
}

// maybeCommit advances the commit index to the last entry that a majority of the voters has synced. Entries of earlier
// terms are committed only together with an entry of the current term.
func (n *Node) maybeCommit(now time.Time) {
	m := n.currentMembership()
	matches := make([]uint64, 0, MaxVoters)
	for _, id := range m.Voters {
		if id == n.cfg.ID {
			matches = append(matches, n.stable)
		} else {
			matches = append(matches, n.progress[id].match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-m.quorum()]
	if index <= n.hardState.Commit || !n.log.matches(index, n.hardState.Term) {
		return
	}
	n.hardState.Commit = index
	if n.membershipIndex() <= index && !m.IsVoter(n.cfg.ID) {
		// A leader that removed itself steps down once the change is committed, after it sent the new commit index.
		n.broadcastAppend(now, true)
		n.becomeFollower(now, n.hardState.Term, "")
		return
	}
	n.commitDue, n.flushTime = true, now
	n.startDeferredReads(now)
}

func (n *Node) handleLeaderMessage(m *Message) error {
	switch m.Type {
	case MsgHeartbeat:
		n.send(Message{Type: MsgHeartbeatResponse, To: m.From, ReadSeq: m.ReadSeq})
	case MsgSnapshot:
		return n.handleSnapshotPart(m)
	case MsgAppend:
		if err := n.handleAppend(m); err != nil {
			return err
		}
		n.recordCaughtUp(m)
	}
	return nil
}

func (n *Node) handleAppend(m *Message) error {
	r := Message{Type: MsgAppendResponse, To: m.From, ReadSeq: m.ReadSeq}
	if err := checkEntries(m); err != nil {
		return err
	}
	if m.Index < n.hardState.Commit {
		// Entries up to the commit index always match those of the leader.
		skip := n.hardState.Commit - m.Index
		if skip > uint64(len(m.Entries)) {
			r.Index = n.hardState.Commit
			n.send(r)
			return nil
		}
		if skip > 0 {
			m.Index, m.LogTerm = n.hardState.Commit, m.Entries[skip-1].Term
			m.Entries = m.Entries[skip:]
		}
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		r.Reject, r.Index = true, m.Index
		r.Hint, r.HintTerm = n.log.findConflictByTerm(m.Index, m.LogTerm)
		n.send(r)
		return nil
	}
	if err := n.appendFromLeader(m.Entries, m.Commit); err != nil {
		return err
	}
	r.Index = m.Index + uint64(len(m.Entries))
	n.hardState.Commit = max(n.hardState.Commit, min(m.Commit, r.Index))
	n.send(r)
	return nil
}

func checkEntries(m *Message) error {
	for i := range m.Entries {
		if m.Entries[i].Index != m.Index+uint64(i)+1 || m.Entries[i].Term > m.Term {
			return errors.Errorf("raft: append from %s after entry %d holds entry %d of term %d at position %d",
				m.From, m.Index, m.Entries[i].Index, m.Entries[i].Term, i)
		}
	}
	return nil
}

// appendFromLeader skips entries that the log already holds, so that a delayed duplicate does not truncate newer
// entries. committed is the commit index of the sender.
func (n *Node) appendFromLeader(entries []Entry, committed uint64) error {
	for i := range entries {
		e := &entries[i]
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.hardState.Commit {
			return errors.Errorf("raft: entry %d of term %d conflicts with a committed entry", e.Index, e.Term)
		}
		n.truncateMemberships(e.Index)
		n.stable = min(n.stable, e.Index-1)
		n.log.append(entries[i:]...)
		for j := i; j < len(entries); j++ {
			if err := n.recordMembership(&entries[j], entries[j].Index > committed); err != nil {
				return err
			}
		}
		return nil
	}
	return nil
}

func (n *Node) handleSnapshotPart(m *Message) error {
	p := m.Part
	if p == nil || p.Offset < 0 || p.Offset+len(p.Data) > p.Total {
		return errors.Errorf("raft: malformed snapshot part from %s", m.From)
	}
	if p.Index <= n.hardState.Commit {
		n.incomingSnapshot = nil
		n.send(Message{Type: MsgAppendResponse, To: m.From, Index: n.hardState.Commit, ReadSeq: m.ReadSeq})
		return nil
	}
	in := n.incomingSnapshot
	if in == nil || in.Index != p.Index || in.Term != p.Term || in.Total != p.Total {
		in = &SnapshotPart{Index: p.Index, Term: p.Term, Total: p.Total, Membership: p.Membership}
		n.incomingSnapshot = in
	}
	if p.Offset == len(in.Data) {
		in.Data = append(in.Data, p.Data...)
	}
	if len(in.Data) < in.Total {
		n.send(Message{Type: MsgSnapshotResponse, To: m.From, Index: in.Index, Hint: uint64(len(in.Data)), ReadSeq: m.ReadSeq})
		return nil
	}
	n.incomingSnapshot = nil
	n.installSnapshot(Snapshot{Index: in.Index, Term: in.Term, Membership: in.Membership, Data: in.Data})
	n.send(Message{Type: MsgAppendResponse, To: m.From, Index: in.Index, ReadSeq: m.ReadSeq})
	return nil
}

// installSnapshot replaces the log by a snapshot that is newer than the commit index.
func (n *Node) installSnapshot(s Snapshot) {
	n.hardState.Commit = s.Index
	if n.log.matches(s.Index, s.Term) {
		// The log already holds all entries that the snapshot covers, so they are applied from the log.
		return
	}
	n.log.reset(s.Index, s.Term)
	n.snapshot = s
	n.stable = s.Index
	n.memberships = []indexedMembership{{s.Index, s.Membership}}
	n.voterChangesFrom = n.leaderContact
	n.receivedSnapshot = &s
}

// ReadIndex starts a linearizable read. Its result appears in Ready.Reads once a majority of the voters has confirmed
// the leader after the call. It does not depend on clocks.
func (n *Node) ReadIndex(now time.Time, id uint64) error {
	if n.role != Leader {
		return NotLeaderError{Leader: n.leader}
	}
	if n.hardState.Commit < n.termStartIndex {
		// A new leader does not know the last commit index of earlier terms until an entry of its own term is committed.
		n.pendingReads = append(n.pendingReads, pendingRead{id: id})
		return nil
	}
	n.startRead(id)
	n.confirmReads()
	if len(n.pendingReads) > 0 {
		n.broadcastHeartbeat(now)
	}
	return nil
}

func (n *Node) startRead(id uint64) {
	n.readSeq++
	n.pendingReads = append(n.pendingReads, pendingRead{id: id, seq: n.readSeq, index: n.hardState.Commit})
}

func (n *Node) startDeferredReads(now time.Time) {
	deferred := n.pendingReads
	if n.hardState.Commit < n.termStartIndex || len(deferred) == 0 || deferred[0].seq != 0 {
		return
	}
	n.pendingReads = nil
	for _, r := range deferred {
		n.startRead(r.id)
	}
	n.confirmReads()
	if len(n.pendingReads) > 0 {
		n.broadcastHeartbeat(now)
	}
}

func (n *Node) confirmReads() {
	m := n.currentMembership()
	for len(n.pendingReads) > 0 && n.pendingReads[0].seq != 0 {
		count := 0
		for _, id := range m.Voters {
			if id == n.cfg.ID || n.progress[id].ackedReadSeq >= n.pendingReads[0].seq {
				count++
			}
		}
		if count < m.quorum() {
			return
		}
		n.readResults = append(n.readResults, ReadResult{ID: n.pendingReads[0].id, Index: n.pendingReads[0].index})
		n.pendingReads = n.pendingReads[1:]
	}
}
