// Package replica runs one Raft group in a process: it syncs the log before it sends messages, applies committed
// entries to a state machine, forwards proposals to the leader and serves committed entries to instances that are not
// voters.
//
// # Use
//
// Open reads the data folder, Run runs the replica until its context ends. The user of the package implements Sender
// and PeerClient over its connections and passes incoming messages and requests to HandleMessage, HandlePropose and
// HandleFetch of the same group. An instance whose name is not in Options.Voters pulls from Options.Parents;
// NotifyCommit makes it pull at once.
//
// # Voters
//
// The first process in an empty data folder generates a random incarnation and stores it. The member id consists of the
// instance name and the incarnation, and the membership lists member ids. A voter that lost its disk therefore rejoins
// as a new member: the leader removes the old id, adds the new one as a learner and promotes it when it has caught up.
// Removed ids cannot join again.
//
// The voter whose name sorts first bootstraps the group when every voter in the settings is reachable, has the same
// voters in its settings and belongs to no cluster. If it finds an existing cluster, it joins that one instead. An
// instance is bound to the first cluster that it is a member of or pulls from, and refuses messages of any other.
//
// # Results
//
// A proposal carries an id and the applied index of the proposer. Every replica stores the results of the most recent
// proposals in log order; they are part of the snapshot. A command whose id is stored is answered with the recorded
// result. A command whose base index is below that of the last evicted result could be a late duplicate and is not
// applied. Propose retries under one id until its context or Options.ProposeTimeout ends. It returns ErrNoQuorum only
// if no attempt can be in a log, and ErrUnknownResult otherwise.
//
// # Limits
//
// If a majority of the voters lose their disks at the same time, entries that only those disks held are lost. The
// remaining instances then neither elect a leader nor bootstrap a new group; an operator has to remove the data
// folders. A data folder must not be copied or restored from a backup.
//
// A group of two voters is unavailable while one of them is unreachable, also when that one was just promoted to be the
// second voter.
//
// A proposal that is repeated by a new call of ProposeWithID after its result was evicted is applied again. State
// machines with idempotency keys of their own detect such a duplicate.
//
// Snapshots are encoded by the goroutine that sends heartbeats. If encoding takes longer than the election timeout, the
// leader loses its role.
//
// A record at the very end of the log that was damaged after it was synced cannot be distinguished from one that a
// crash left incomplete; it is truncated and reported as EventIncompleteRecord.
package replica
