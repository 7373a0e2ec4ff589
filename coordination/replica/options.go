package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
	"github.com/tarragonhoist/tarragonhoist/state/defaults"
)

const (
	defaultSnapshotEvery  = 1000
	defaultSnapshotBytes  = 8 << 20
	defaultFetchInterval  = 500 * time.Millisecond
	defaultProposeTimeout = 5 * time.Second
	// attemptTimeout bounds one forwarded call, so that a frozen peer leaves time for another one.
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
	// ErrNotSent is returned by a Caller, wrapped or not, when the request did not leave the process.
	ErrNotSent = errors.New("request was not sent")
)

// CommandError is the error that the state machine returned for a committed command.
type CommandError struct{ Message string }

// Error returns the message of the state machine.
func (e *CommandError) Error() string { return e.Message }

// StateMachine is applied on every replica in log order by one goroutine. It must be deterministic: an error is a
// result like any other and changes nothing. Restore replaces the state.
type StateMachine interface {
	Apply(index uint64, command []byte) (result []byte, err error)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Sender sends consensus messages. It must not block and must not change the message, which shares memory with the log.
// It may lose, repeat and reorder messages.
type Sender interface {
	Send(peer string, m raft.Message)
}

// Caller calls HandlePropose and HandleFetch of the same group on another instance. An error means that the request
// may have been handled, unless errors.Is finds ErrNotSent.
type Caller interface {
	Propose(ctx context.Context, peer string, r ProposeRequest) (ProposeResponse, error)
	Fetch(ctx context.Context, peer string, r FetchRequest) (FetchResponse, error)
}

// EventKind tells what happened in a group.
type EventKind string

// Kinds of events.
const (
	EventLeader           EventKind = "leader changed"
	EventMembership       EventKind = "membership changed"
	EventSnapshot         EventKind = "snapshot written"
	EventInstalled        EventKind = "snapshot installed"
	EventFounded          EventKind = "group founded"
	EventAdopted          EventKind = "joined cluster"
	EventJoinFailed       EventKind = "join failed"
	EventMessageRefused   EventKind = "message refused"
	EventIncompleteRecord EventKind = "incomplete log record cut off"
)

// Options of a group. Group, Self, Voters, Machine, Sender and Caller are required.
type Options struct {
	// Name is the name of the group, such as config.
	Name string
	// Self is the name of this instance.
	Self string
	// Voters are the names of the voters in the settings. The first one in sorted order founds a new group once all of
	// them are reachable and empty.
	Voters []string
	// Dynamic lets any instance with a DataDir become a voter, whether Voters names it or not. Voters are then only the
	// first instances to ask.
	Dynamic bool
	// Founders, when it names Self and the data folder is new, makes this instance a founder of a new group without
	// asking anybody: every founder derives the same first membership from the same list. It must only be set at the
	// first start of the whole deployment.
	Founders []string
	// SilentVoters lets the leader of a dynamic group remove voters that are gone. Zero keeps them.
	SilentVoters raft.SilentTimeouts
	// OnRemoved is called when the group has removed this instance while its data folder still says that it is a
	// member. The folder is of no more use then.
	OnRemoved func()
	// JoinInterval is the pause between attempts to become a voter.
	JoinInterval time.Duration
	// DataDir holds a folder per group. Voters need it; other instances keep their state in memory when it is empty.
	DataDir string
	Machine StateMachine
	Sender  Sender
	Caller  Caller
	// Parents lists the instances from which an instance that is not a voter pulls, best first. The default is Voters.
	Parents func() []string
	// OnApply is called after one or more entries were applied, also by Open. OnApply and OnEvent run in the goroutine
	// that applies: they must not block and must not call Propose, Barrier or Remove.
	OnApply func(applied uint64)
	// OnEvent is called for events that operators may want to see.
	OnEvent func(kind EventKind, detail string)

	// SnapshotEvery is the number of entries between snapshots.
	SnapshotEvery uint64
	// SnapshotBytes is the size of entries after which a snapshot is taken earlier.
	SnapshotBytes     int
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	FetchInterval     time.Duration
	// ProposeTimeout bounds Propose and Barrier in addition to their context.
	ProposeTimeout time.Duration
	MaxEntryBytes  int
	// Rand is used by one goroutine. The default is seeded at random.
	Rand *rand.Rand
}

func (o *Options) complete() error {
	var missing []string
	for name, absent := range map[string]bool{"Name": o.Name == "", "Self": o.Self == "", "Voters": len(o.Voters) == 0,
		"Machine": o.Machine == nil, "Sender": o.Sender == nil, "Caller": o.Caller == nil} {
		if absent {
			missing = append(missing, name)
		}
	}
	if len(missing) > 0 {
		slices.Sort(missing)
		return errors.Errorf("replica: options %v are not set", missing)
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
	Voter   bool   // this instance is a voter in the membership in effect
	Role    string
	Leader  string // instance name, empty when unknown
	Term    uint64
	Commit  uint64
	Applied uint64
	// CaughtUp tells that an instance has applied everything that its leader or parent knew to be committed when it
	// was last heard.
	CaughtUp bool
	Voters   []string // member ids
	Learners []string // member ids
	// Problem is the last reason why this instance cannot take part.
	Problem string
}

// RequestKind tells what a ProposeRequest asks for.
type RequestKind string

// Kinds of requests.
const (
	RequestCommand RequestKind = "command"
	RequestBarrier RequestKind = "barrier"
	RequestJoin    RequestKind = "join"
	RequestRemove  RequestKind = "remove"
	RequestHello   RequestKind = "hello"
	RequestFound   RequestKind = "found"
)

// ProposeRequest is sent to the leader, or to another instance that is asked whether the group exists.
type ProposeRequest struct {
	Kind RequestKind `cbor:"1,keyasint" json:"kind"`
	ID   string      `cbor:"2,keyasint,omitempty" json:"id,omitempty"`
	// Base is a log index that the proposer had seen before it proposed the command for the first time.
	Base    uint64 `cbor:"3,keyasint,omitempty" json:"base,omitempty"`
	Command []byte `cbor:"4,keyasint,omitempty" json:"command,omitempty"`
	// Member is a member id in join and an instance name in remove.
	Member  string   `cbor:"5,keyasint,omitempty" json:"member,omitempty"`
	Cluster string   `cbor:"6,keyasint,omitempty" json:"cluster,omitempty"`
	Voters  []string `cbor:"7,keyasint,omitempty" json:"voters,omitempty"`
}

// Outcome tells what became of a request.
type Outcome string

// Outcomes.
const (
	OutcomeDone         Outcome = "done"
	OutcomeNotLeader    Outcome = "not_leader"    // nothing was done
	OutcomeNotCommitted Outcome = "not_committed" // this attempt is not in the log and never will be
	OutcomeUnknown      Outcome = "unknown"
	OutcomeExpired      Outcome = "expired" // the command was in the log but not applied, see proposalTable
	OutcomeRefused      Outcome = "refused" // the request itself is wrong
)

// ProposeResponse answers a ProposeRequest.
type ProposeResponse struct {
	Outcome Outcome  `cbor:"1,keyasint" json:"outcome"`
	Result  []byte   `cbor:"2,keyasint,omitempty" json:"result,omitempty"`
	Failure string   `cbor:"3,keyasint,omitempty" json:"failure,omitempty"`
	Leader  string   `cbor:"4,keyasint,omitempty" json:"leader,omitempty"`
	Index   uint64   `cbor:"5,keyasint,omitempty" json:"index,omitempty"`
	Member  string   `cbor:"6,keyasint,omitempty" json:"member,omitempty"`
	Cluster string   `cbor:"7,keyasint,omitempty" json:"cluster,omitempty"`
	Voters  []string `cbor:"8,keyasint,omitempty" json:"voters,omitempty"`
	// Removed tells in the answer to a hello that the member id in the request was removed from the group.
	Removed bool `cbor:"10,keyasint,omitempty" json:"removed,omitempty"`
	// Failed tells that the state machine returned Failure for the command.
	Failed bool `cbor:"9,keyasint,omitempty" json:"failed,omitempty"`
}
