// Package replica runs one consensus group in a process: it syncs before it sends, applies committed entries to a
// state machine, forwards proposals to the leader and lets instances that are not voters pull committed entries.
//
// # Use
//
// Open reads the data folder, Run does the work until its context ends. The driver implements Sender and Caller over
// its connections and passes what arrives to HandleMessage, HandlePropose and HandleFetch of the same group. An
// instance whose name is not in Options.Voters pulls from Options.Parents; NotifyCommit makes it pull at once.
//
// # Voters
//
// The first process in an empty data folder draws a random incarnation and stores it. Name and incarnation are the
// member id, and the voters of a group are member ids. A voter that lost its disk therefore comes back as a stranger:
// the leader removes the old id, adds the new one as a learner and promotes it when it has caught up. Removed ids
// cannot come back.
//
// The first name in sorted order founds a group when every voter in the settings answers, has the same voters in its
// settings and belongs to no cluster. A founder that finds a cluster joins it instead. An instance is bound to the
// cluster that it was first a member of, or pulled from, and refuses messages of any other.
//
// # Results
//
// A proposal carries an id and the applied index of the proposer. Every replica remembers the results of the last
// proposals in log order; they are part of the snapshot. A command whose id is remembered is answered with the
// recorded result. A command whose index is before the last forgotten result could be a late repeat and is not
// applied. Propose retries under one id until its context or Options.ProposeTimeout ends. It returns ErrNoQuorum only
// if no attempt can be in a log, and ErrUnknownResult otherwise.
//
// # Limits
//
// A majority of disks that are lost together loses what only they held. The remaining instances then neither elect a
// leader nor found a new group; an operator has to remove the data folders. A data folder must not be copied or
// restored from a backup.
//
// A group of two voters stops while one of them is away, also while a member that was just promoted to second voter
// is away.
//
// A proposal that is repeated by a new call of ProposeWithID, after its result was forgotten, is applied again. State
// machines that have keys of their own recognise such a repeat.
//
// Snapshots are encoded by the goroutine that sends heartbeats. Encoding that takes longer than the election timeout
// costs the leader its role.
//
// A log record that is damaged at the very end of the log after it was synced cannot be told from a record that was
// torn by a crash; it is cut off and reported as EventIncompleteRecord.
package replica
