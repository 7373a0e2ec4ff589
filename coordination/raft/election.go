package raft

import "time"

// hasRecentLeaderContact reports whether this node is the leader or had contact with the leader within the minimum
// election timeout. A leader that loses its quorum steps down within the same time, see tickLeader.
func (n *Node) hasRecentLeaderContact(now time.Time) bool {
	if n.role == Leader {
		return true
	}
	return n.leader != "" && now.Sub(n.leaderContact) < n.cfg.ElectionTimeout
}

func (n *Node) candidateIsUpToDate(m *Message) bool {
	last := n.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.Index >= n.log.lastIndex()
}

// startPreVote asks the voters whether they would grant a vote, without incrementing the term. Otherwise a partitioned
// member would keep incrementing its term and depose the leader when it reconnects.
func (n *Node) startPreVote(now time.Time) {
	n.role, n.leader = PreCandidate, ""
	n.votes = map[string]bool{n.cfg.ID: true}
	n.requestVotes(MsgPreVote, n.hardState.Term+1, false)
	if n.hasVoteQuorum() {
		n.startElection(now, false)
	}
}

func (n *Node) startElection(now time.Time, transfer bool) {
	n.role, n.leader = Candidate, ""
	n.hardState.Term++
	n.hardState.Vote = n.cfg.ID
	n.votes = map[string]bool{n.cfg.ID: true}
	n.resetElectionDeadline(now)
	n.requestVotes(MsgVote, n.hardState.Term, transfer)
	if n.hasVoteQuorum() {
		n.becomeLeader(now)
	}
}

func (n *Node) requestVotes(t MessageType, term uint64, transfer bool) {
	for _, id := range n.currentMembership().Voters {
		if id != n.cfg.ID {
			n.send(Message{Type: t, To: id, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Transfer: transfer})
		}
	}
}

func (n *Node) hasVoteQuorum() bool {
	m := n.currentMembership()
	count := 0
	for _, id := range m.Voters {
		if n.votes[id] {
			count++
		}
	}
	return count >= m.quorum()
}

func (n *Node) handlePreVote(now time.Time, m *Message) {
	grant := m.Term > n.hardState.Term && n.candidateIsUpToDate(m) && !n.hasRecentLeaderContact(now)
	r := Message{Type: MsgPreVoteResponse, To: m.From, Reject: !grant}
	if grant {
		r.Term = m.Term
	}
	n.send(r)
}

func (n *Node) handlePreVoteResponse(now time.Time, m *Message) {
	if n.role != PreCandidate || m.Reject || m.Term != n.hardState.Term+1 {
		return
	}
	n.votes[m.From] = true
	if n.hasVoteQuorum() {
		n.startElection(now, false)
	}
}

func (n *Node) handleVote(now time.Time, m *Message) {
	grant := (n.hardState.Vote == "" || n.hardState.Vote == m.From) && n.leader == "" && n.candidateIsUpToDate(m)
	if grant {
		n.hardState.Vote = m.From
		n.resetElectionDeadline(now)
	}
	n.send(Message{Type: MsgVoteResponse, To: m.From, Reject: !grant})
}

func (n *Node) handleVoteResponse(now time.Time, m *Message) {
	if n.role != Candidate || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.hasVoteQuorum() {
		n.becomeLeader(now)
	}
}

func (n *Node) becomeLeader(now time.Time) {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.progress = make(map[string]*progress)
	n.pendingReads, n.readSeq = nil, 0
	for _, id := range n.currentMembership().members() {
		n.addProgress(now, id)
	}
	n.termStartIndex = n.log.lastIndex() + 1
	n.appendLocal(now, Entry{Kind: EntryNoop})
	n.heartbeatDue = now.Add(n.cfg.HeartbeatInterval)
}

// TransferLeadership tells a voter that holds the whole log to start an election without waiting for its election
// timeout. It returns false if there is no such voter. The leader steps down when it receives the new term.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	for _, id := range n.currentMembership().Voters {
		if p := n.progress[id]; p != nil && p.match == n.log.lastIndex() {
			n.send(Message{Type: MsgTimeoutNow, To: id})
			return true
		}
	}
	return false
}

// tickLeader sends heartbeats, and steps down if no majority of the voters has answered within the election timeout
// (check-quorum). Requests to a partitioned leader then fail early instead of waiting for a quorum.
func (n *Node) tickLeader(now time.Time) {
	m := n.currentMembership()
	active := 0
	for _, id := range m.Voters {
		if id == n.cfg.ID || now.Sub(n.progress[id].lastContact) <= n.cfg.ElectionTimeout {
			active++
		}
	}
	if active < m.quorum() {
		n.becomeFollower(now, n.hardState.Term, "")
		return
	}
	if now.Before(n.heartbeatDue) {
		return
	}
	n.heartbeatDue = now.Add(n.cfg.HeartbeatInterval)
	n.broadcastHeartbeat(now)
}
