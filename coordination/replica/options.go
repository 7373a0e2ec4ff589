package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
	"github.com/tarragonhoist/tarragonhoist/state/defaults"
	"github.com/tarragonhoist/tarragonhoist/state/wal"
)

const (
	defaultSnapshotEvery  = 1000
	defaultSnapshotBytes  = 8 << 20
	defaultFetchInterval  = 500 * time.Millisecond
	defaultProposeTimeout = 5 * time.Second
	// attemptTimeout bounds one request to a peer, so that an unresponsive peer leaves time to try another one.
	attemptTimeout      = 2 * time.Second
	retryInterval       = 100 * time.Millisecond
	defaultJoinInterval = 500 * time.Millisecond
)

// Errors of proposals and barriers.
var (
	// ErrNoQuorum means that the command is not in the log and will not be applied.
	ErrNoQuorum = errors.New("no quorum: the command was not committed")
	// ErrUnknownResult means that the command may or may not be applied. Proposing it again under the same id is safe.
	ErrUnknownResult = errors.New("unknown result: the command may have been committed")
	// ErrStopped is returned when the group does not run.
	ErrStopped = errors.New("the group is stopped")
	// ErrNotRun is returned by a PeerClient, wrapped or not, when the request certainly did not run: it was not sent, or
	// the peer refused it without running it.
	ErrNotRun = errors.New("request was not run")
)

// CommandError is the error that the state machine returned for a committed command.
type CommandError struct{ Message string }

// Error returns the message of the state machine.
func (e *CommandError) Error() string { return e.Message }

// StateMachine is the replicated state of a group. One goroutine applies the committed commands in log order. Apply
// must be deterministic; an error is a result like any other and must leave the state unchanged. Restore replaces the
// state.
type StateMachine interface {
	Apply(index uint64, command []byte) (result []byte, err error)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Sender sends Raft messages. It must not block and must not modify the message, which shares memory with the log. It
// may lose, duplicate and reorder messages.
type Sender interface {
	Send(peer string, m raft.Message)
}

// PeerClient calls HandlePropose and HandleFetch of the same group on another instance. An error means that the request
// may have been handled, unless errors.Is finds ErrNotRun.
type PeerClient interface {
	Propose(ctx context.Context, peer string, r ProposeRequest) (ProposeResponse, error)
	Fetch(ctx context.Context, peer string, r FetchRequest) (FetchResponse, error)
}

// EventKind is the kind of an event that is reported to Options.OnEvent.
type EventKind string

// Kinds of events.
const (
	EventLeader            EventKind = "leader changed"
	EventMembership        EventKind = "membership changed"
	EventReachability      EventKind = "reachability changed"
	EventSnapshotWritten   EventKind = "snapshot written"
	EventSnapshotInstalled EventKind = "snapshot installed"
	EventBootstrapped      EventKind = "group founded"
	EventClusterJoined     EventKind = "joined cluster"
	EventJoinFailed        EventKind = "join failed"
	EventMessageRefused    EventKind = "message refused"
	EventIncompleteRecord  EventKind = "incomplete log record cut off"
)

// Options configure a group. Name, Self, Voters, Machine, Sender and Peers are required.
type Options struct {
	// Name is the name of the group, for example config.
	Name string
	// Self is the name of this instance.
	Self string
	// Voters are the names of the voters in the settings. The one that sorts first bootstraps a new group once all of
	// them are reachable and belong to no cluster.
	Voters []string
	// Dynamic lets any instance with a DataDir become a voter, whether Voters contains it or not. Voters are then only
	// the first instances to contact.
	Dynamic bool
	// InitialVoters are the initial voters of a new dynamic group. If the list contains Self and the data folder is
	// new, this instance bootstraps the group without contacting the others: every founder derives the same initial
	// membership from the same list. It must only be set at the first start of the whole deployment.
	InitialVoters []string
	// UnreachableTimeouts are the timeouts after which the leader of a dynamic group removes an unreachable voter. With
	// the zero value it removes none.
	UnreachableTimeouts raft.UnreachableTimeouts
	// OnRemoved is called when the group has removed this instance although its data folder still lists it as a member.
	// The folder cannot be used any more.
	OnRemoved func()
	// JoinInterval is the pause between attempts to become a voter.
	JoinInterval time.Duration
	// DataDir contains one folder per group. Voters require it; other instances keep their state in memory if it is
	// empty.
	DataDir string
	// Files is the file system of DataDir. The default is wal.OS.
	Files   wal.FileSystem
	Machine StateMachine
	Sender  Sender
	Peers   PeerClient
	// Parents returns the instances from which an instance that is not a voter pulls, in order of preference. The
	// default is Voters.
	Parents func() []string
	// OnApply is called after one or more entries were applied, also by Open. OnApply and OnEvent run in the goroutine
	// that applies entries: they must not block and must not call Propose, Barrier or Remove.
	OnApply func(applied uint64)
	// OnEvent is called for events that are worth logging.
	OnEvent func(kind EventKind, detail string)

	// SnapshotEvery is the number of entries between snapshots.
	SnapshotEvery uint64
	// SnapshotBytes is the total size of applied entries that triggers a snapshot before SnapshotEvery is reached.
	SnapshotBytes     int
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	FetchInterval     time.Duration
	// ProposeTimeout bounds Propose and Barrier in addition to their context.
	ProposeTimeout time.Duration
	MaxEntryBytes  int
	// Rand is used by one goroutine only. The default is randomly seeded.
	Rand *rand.Rand
}

func (o *Options) validateAndSetDefaults() error {
	var missing []string
	for name, absent := range map[string]bool{"Name": o.Name == "", "Self": o.Self == "", "Voters": len(o.Voters) == 0,
		"Machine": o.Machine == nil, "Sender": o.Sender == nil, "Peers": o.Peers == nil} {
		if absent {
			missing = append(missing, name)
		}
	}
	if len(missing) > 0 {
		slices.Sort(missing)
		return errors.Errorf("replica: required options %v are not set", missing)
	}
	o.Voters = slices.Clone(o.Voters)
	slices.Sort(o.Voters)
	if len(slices.Compact(slices.Clone(o.Voters))) != len(o.Voters) {
		return errors.Errorf("replica: group %s: voters %v contain a name twice", o.Name, o.Voters)
	}
	if len(o.Voters) > raft.MaxVoters {
		return errors.Errorf("replica: group %s: %d voters, at most %d are allowed", o.Name, len(o.Voters), raft.MaxVoters)
	}
	if o.isVoter() && o.DataDir == "" {
		return errors.Errorf("replica: group %s: voter %s has no data folder", o.Name, o.Self)
	}
	o.setDefaults()
	return nil
}

func (o *Options) setDefaults() {
	if o.Parents == nil {
		voters := o.Voters
		o.Parents = func() []string { return voters }
	}
	if o.Files == nil {
		o.Files = wal.OS{}
	}
	if o.OnApply == nil {
		o.OnApply = func(uint64) {}
	}
	if o.OnEvent == nil {
		o.OnEvent = func(EventKind, string) {}
	}
	defaults.Positive(&o.SnapshotEvery, defaultSnapshotEvery)
	defaults.Positive(&o.SnapshotBytes, defaultSnapshotBytes)
	defaults.Positive(&o.FetchInterval, defaultFetchInterval)
	defaults.Positive(&o.ProposeTimeout, defaultProposeTimeout)
	defaults.Positive(&o.JoinInterval, defaultJoinInterval)
	if o.OnRemoved == nil {
		o.OnRemoved = func() {}
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

func (o *Options) isVoter() bool { return o.Dynamic || slices.Contains(o.Voters, o.Self) }

// Status describes a replica.
type Status struct {
	ID      string // member id: name and disk incarnation
	Cluster string // empty until the group exists
	Voter   bool   // whether this instance is a voter in the current membership
	Role    string
	Leader  string // instance name, empty when unknown
	Term    uint64
	Commit  uint64
	Applied uint64
	// CaughtUp reports whether this instance has applied all entries that its leader or parent last reported as
	// committed.
	CaughtUp bool
	// CaughtUpAt is the latest time at which this member had applied everything that was committed by then, as far as it
	// knows; the zero time if it has not heard from a majority since its start, and on instances that are not members.
	CaughtUpAt time.Time
	Voters     []string // member ids
	Learners   []string // member ids
	// Reachability is set on the leader only.
	Reachability raft.Reachability
	// Problem is the most recent reason why this instance cannot join or fetch. It is empty for a voter.
	Problem string
}

// RequestKind is the operation that a ProposeRequest asks for.
type RequestKind string

// Kinds of requests.
const (
	RequestCommand    RequestKind = "command"
	RequestBarrier    RequestKind = "barrier"
	RequestJoin       RequestKind = "join"
	RequestRemove     RequestKind = "remove"
	RequestMemberInfo RequestKind = "hello"
	RequestBootstrap  RequestKind = "found"
)

// ProposeRequest is sent to the leader, or to any voter to query or announce the cluster (RequestMemberInfo,
// RequestBootstrap).
type ProposeRequest struct {
	Kind RequestKind `cbor:"1,keyasint" json:"kind"`
	ID   string      `cbor:"2,keyasint,omitempty" json:"id,omitempty"`
	// Base is a log index that the proposer had applied before it first proposed the command.
	Base    uint64 `cbor:"3,keyasint,omitempty" json:"base,omitempty"`
	Command []byte `cbor:"4,keyasint,omitempty" json:"command,omitempty"`
	// Member is a member id in RequestJoin and RequestMemberInfo, and an instance name in RequestRemove.
	Member  string   `cbor:"5,keyasint,omitempty" json:"member,omitempty"`
	Cluster string   `cbor:"6,keyasint,omitempty" json:"cluster,omitempty"`
	Voters  []string `cbor:"7,keyasint,omitempty" json:"voters,omitempty"`
}

// Outcome is the outcome of a request.
type Outcome string

// Outcomes of requests.
const (
	OutcomeDone         Outcome = "done"
	OutcomeNotLeader    Outcome = "not_leader"    // the request had no effect
	OutcomeNotCommitted Outcome = "not_committed" // this attempt is not in the log and never will be
	OutcomeUnknown      Outcome = "unknown"
	OutcomeExpired      Outcome = "expired" // the command was in the log but not applied, see dedupTable
	OutcomeRefused      Outcome = "refused" // the request is invalid; a retry would fail as well
)

// ProposeResponse answers a ProposeRequest.
type ProposeResponse struct {
	Outcome Outcome `cbor:"1,keyasint" json:"outcome"`
	Result  []byte  `cbor:"2,keyasint,omitempty" json:"result,omitempty"`
	Failure string  `cbor:"3,keyasint,omitempty" json:"failure,omitempty"`
	Leader  string  `cbor:"4,keyasint,omitempty" json:"leader,omitempty"`
	Index   uint64  `cbor:"5,keyasint,omitempty" json:"index,omitempty"`
	Member  string  `cbor:"6,keyasint,omitempty" json:"member,omitempty"`
	Cluster string  `cbor:"7,keyasint,omitempty" json:"cluster,omitempty"`
	// Voters are the voters in the settings in the response to RequestMemberInfo, and the present ones in that to a refused
	// RequestJoin.
	Voters []string `cbor:"8,keyasint,omitempty" json:"voters,omitempty"`
	// Removed is set in the response to RequestMemberInfo if the member id in the request was removed from the group.
	Removed bool `cbor:"10,keyasint,omitempty" json:"removed,omitempty"`
	// Failed is set if the state machine returned the error Failure for the command.
	Failed bool `cbor:"9,keyasint,omitempty" json:"failed,omitempty"`
}
