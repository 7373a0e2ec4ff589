package raft

import "time"

// leaderIsRecent reports whether this node is the leader or had contact with the leader within the minimum election
// timeout. A leader that loses its quorum steps down within the same time, see tickLeader.
func (n *Node) leaderIsRecent(now time.Time) bool {
	if n.role == Leader {
		return true
	}
	return n.leader != "" && now.Sub(n.leaderContact) < n.cfg.ElectionTimeout
}

func (n *Node) upToDate(m *Message) bool {
	last := n.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.Index >= n.log.lastIndex()
}

// startPreVote asks the voters whether they would grant a vote, without incrementing the term. Otherwise a partitioned
// member would keep incrementing its term and depose the leader when it reconnects.
func (n *Node) startPreVote(now time.Time) {
	n.role, n.leader = PreCandidate, ""
	n.votes = map[string]bool{n.cfg.ID: true}
	n.requestVotes(MsgPreVote, n.hard.Term+1, false)
	if n.granted() {
		n.startElection(now, false)
	}
}

func (n *Node) startElection(now time.Time, transfer bool) {
	n.role, n.leader = Candidate, ""
	n.hard.Term++
	n.hard.Vote = n.cfg.ID
	n.votes = map[string]bool{n.cfg.ID: true}
	n.resetElectionDeadline(now)
	n.requestVotes(MsgVote, n.hard.Term, transfer)
	if n.granted() {
		n.becomeLeader(now)
	}
}

func (n *Node) requestVotes(t MessageType, term uint64, transfer bool) {
	for _, id := range n.current().Voters {
		if id != n.cfg.ID {
			n.send(Message{Type: t, To: id, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Transfer: transfer})
		}
	}
}

func (n *Node) granted() bool {
	m := n.current()
	count := 0
	for _, id := range m.Voters {
		if n.votes[id] {
			count++
		}
	}
	return count >= m.quorum()
}

func (n *Node) handlePreVote(now time.Time, m *Message) {
	grant := m.Term > n.hard.Term && n.upToDate(m) && !n.leaderIsRecent(now)
	r := Message{Type: MsgPreVoteResponse, To: m.From, Reject: !grant}
	if grant {
		r.Term = m.Term
	}
	n.send(r)
}

func (n *Node) handlePreVoteResponse(now time.Time, m *Message) {
	if n.role != PreCandidate || m.Reject || m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = true
	if n.granted() {
		n.startElection(now, false)
	}
}

func (n *Node) handleVote(now time.Time, m *Message) {
	grant := (n.hard.Vote == "" || n.hard.Vote == m.From) && n.leader == "" && n.upToDate(m)
	if grant {
		n.hard.Vote = m.From
		n.resetElectionDeadline(now)
	}
	n.send(Message{Type: MsgVoteResponse, To: m.From, Reject: !grant})
}

func (n *Node) handleVoteResponse(now time.Time, m *Message) {
	if n.role != Candidate || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.granted() {
		n.becomeLeader(now)
	}
}

func (n *Node) becomeLeader(now time.Time) {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.progress = make(map[string]*progress)
	n.reads, n.readSeq = nil, 0
	for _, id := range n.current().members() {
		n.addProgress(now, id)
	}
	for _, p := range n.progress {
		p.joined = time.Time{}
	}
	n.termStart = n.log.lastIndex() + 1
	n.appendLocal(now, Entry{Kind: EntryNoop})
	n.heartbeatDue = now.Add(n.cfg.HeartbeatInterval)
}

// TransferLeadership tells a voter that holds the whole log to start an election without waiting for its election
// timeout. It returns false if there is no such voter. The leader steps down when it receives the new term.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	for _, id := range n.current().Voters {
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
	m := n.current()
	active := 0
	for _, id := range m.Voters {
		if id == n.cfg.ID || now.Sub(n.progress[id].lastHeard) <= n.cfg.ElectionTimeout {
			active++
		}
	}
	if active < m.quorum() {
		n.becomeFollower(now, n.hard.Term, "")
		return
	}
	if now.Before(n.heartbeatDue) {
		return
	}
	n.heartbeatDue = now.Add(n.cfg.HeartbeatInterval)
	n.broadcastHeartbeat(now)
}
