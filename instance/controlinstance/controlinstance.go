// Package controlinstance implements a control instance: it receives configurations and heartbeats, stores the
// configuration in a replicated log, serves gateways the fleet state and, as the leader, sends orders to targets.
package controlinstance

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/tarragonhoist/tarragonhoist/coordination/quota"
	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/coordination/streamorigin"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/instance/replicalink"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
	"github.com/tarragonhoist/tarragonhoist/state/wal"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
	"github.com/tarragonhoist/tarragonhoist/transport/peer"
)

// GroupName is the name of the replicated log of the configuration.
const GroupName = "fleet"

const (
	// electionTimeout is longer than the scheduling pauses of a process on a shared core.
	electionTimeout       = 700 * time.Millisecond
	raftHeartbeatInterval = 120 * time.Millisecond
	// joinInterval is short, since an instance that replaces another one counts as lost until it is a voter.
	joinInterval = 200 * time.Millisecond
	// replacedVoterTimeout, evenGroupTimeout and lostVoterTimeout are the times after which an unreachable voter is removed,
	// see raft.UnreachableTimeouts. Together with an election, the second one is below the shortest time within which a
	// deployment has to bear the next loss, 4 s after its machines are back.
	replacedVoterTimeout = 1500 * time.Millisecond
	evenGroupTimeout     = 2500 * time.Millisecond
	lostVoterTimeout     = 12 * time.Second
	// proposeTimeout bounds a change of the configuration. Operators retry at another instance after one second.
	proposeTimeout = 2500 * time.Millisecond
	// readTimeout bounds a linearizable read of the configuration.
	readTimeout = 1500 * time.Millisecond
	// serveUnconfirmedAfter is the time after the start from which the configuration on disk is served to gateways
	// although no quorum has confirmed that it is the newest.
	serveUnconfirmedAfter = 6 * time.Second
	// confirmInterval is the time between attempts to have a quorum confirm the configuration.
	confirmInterval = 100 * time.Millisecond
	// shutdownTimeout bounds the shutdown of the HTTP server, and then that of the replicated log.
	shutdownTimeout = time.Second
)

// Options of a control instance.
type Options struct {
	// Name is the address at which other instances reach this one; it also identifies it in the group.
	Name          string
	DataCentre    string
	ControlListen string // for targets and operators
	DataDir       string
	Seeds         []string // names of control instances to ask first
	// FirstStart is set at the first start of the whole deployment: the seeds bootstrap the group.
	FirstStart bool
	// ExclusionPeriod is the time within which a target must not receive orders from two instances.
	ExclusionPeriod time.Duration
	// SlowStart bounds the requests to targets that have just started or returned, see package pace.
	SlowStart bool
	// Quota is how quotas of accounts are counted.
	Quota quota.Options
	// Intake counts what targets and operators hold.
	Intake *intake.Pool
}

// Instance is one control instance.
type Instance struct {
	opts     Options
	epoch    uint64
	view     *fleetview.View
	watcher  *fleetview.Watcher
	peers    *peer.Transport
	group    *replica.Group
	decode   fleetview.Decode
	director *Director
	recorder *events.Recorder
	lag      *lagMeter
	// departures are the draining targets of which a majority knows.
	departures *knownDepartures
	versions   *streamorigin.Versions
	known      *knownVersions
	// streams are the records that gateways reported.
	streams *streamorigin.Journal
	// saveMu serialises saveOrigins and guards what it saved last.
	saveMu         sync.Mutex
	savedTerm      uint64
	savedHistory   streamorigin.VersionHistory
	savedKnown     int    // number of known versions
	savedStreams   uint64 // how much of streams
	streamsSavedAt time.Time
	// confirmed is set once a quorum has confirmed, after the start, that the local configuration is the newest.
	confirmed atomic.Bool
	started   time.Time
	removed   chan struct{}
	// joinFailures limits how many failed joins are logged.
	joinFailures *rate.Limiter
}

// New opens the replicated log and creates a control instance.
func New(opts Options, epoch uint64, view *fleetview.View, watcher *fleetview.Watcher, peers *peer.Transport,
	decode fleetview.Decode, orders OrderClient, recorder *events.Recorder, registry metrics.Registry) (*Instance, error) {
	instance := &Instance{opts: opts, epoch: epoch, view: view, watcher: watcher, peers: peers, decode: decode, recorder: recorder,
		versions: streamorigin.NewVersions(time.Now()), known: newKnownVersions(), departures: newKnownDepartures(), streams: streamorigin.NewJournal(), started: time.Now(), removed: make(chan struct{}, 1),
		joinFailures: rate.NewLimiter(rate.Every(joinFailureInterval), 1)}
	store := routes.NewStore(instance.onConfigApplied)
	link := replicalink.New(GroupName, peers)
	group := replica.Options{
		Name: GroupName, Self: opts.Name, Voters: opts.Seeds, Dynamic: true, DataDir: opts.DataDir, Machine: store,
		Sender: link, Peers: link, OnEvent: instance.onGroupEvent, ElectionTimeout: electionTimeout, HeartbeatInterval: raftHeartbeatInterval,
		ProposeTimeout: proposeTimeout, JoinInterval: joinInterval, OnRemoved: instance.onRemoved,
		UnreachableTimeouts: raft.UnreachableTimeouts{WithReplacement: replacedVoterTimeout, FromEvenGroup: evenGroupTimeout,
			WithoutReplacement: lostVoterTimeout},
		MaxEntryBytes: maxEntryBytes, SnapshotEvery: snapshotEvery, SnapshotBytes: snapshotBytes,
	}
	if opts.FirstStart && slices.Contains(opts.Seeds, opts.Name) {
		group.InitialVoters = opts.Seeds
	}
	err := finishRemoval(opts.DataDir)
	if err != nil {
		// It takes room, but nothing reads it.
		recorder.Record(events.InternalError, events.Fields{"task": "removal", "error": err.Error()})
	}
	if instance.group, err = replica.Open(group); err != nil {
		return nil, err
	}
	instance.registerGroupMetrics(registry)
	instance.lag = newLagMeter(recorder, registry)
	instance.director = newDirector(opts, view, instance.group, orders, recorder, registry)
	if err := instance.director.sizes.load(time.Now(), filepath.Join(opts.DataDir, sizesFile)); err != nil {
		// Only loads beside weights of an earlier, larger size are at risk then.
		recorder.Record(events.InternalError, events.Fields{"task": "sizes", "error": err.Error()})
	}
	if err := instance.loadQuarantines(time.Now()); err != nil {
		// Serving without them is better than not serving.
		recorder.Record(events.InternalError, events.Fields{"task": "quarantines", "error": err.Error()})
	}
	if err := instance.loadOrigins(time.Now(), instance.term()); err != nil {
		// Streams of earlier processes can't be taken up then.
		recorder.Record(events.InternalError, events.Fields{"task": "origins", "error": err.Error()})
	}
	return instance, nil
}

const (
	// maxEntryBytes makes a compressed configuration, encoded in base64, fit into one frame between instances.
	maxEntryBytes = 640 << 10
	// snapshotEvery and snapshotBytes keep the log far below the disk size of a small instance.
	snapshotEvery = 200
	snapshotBytes = 2 << 20
)

func (instance *Instance) onConfigApplied(p routes.CompressedDocument) {
	if err := instance.view.SetDocument(p); err != nil {
		instance.recorder.Record(events.InternalError, events.Fields{"error": err.Error()})
		return
	}
	instance.recorder.Record(events.ConfigInForce, events.Fields{"version": p.Version, "bytes": len(p.Data)})
}

// joinFailureInterval bounds how often a failed join is logged: its reason may change with each attempt.
const joinFailureInterval = time.Second

// onGroupEvent is called by one goroutine at a time for each kind of event.
func (instance *Instance) onGroupEvent(kind replica.EventKind, detail string) {
	switch {
	case kind == replica.EventMessageRefused:
		return // repeated for as long as the cause lasts
	case kind == replica.EventJoinFailed && !instance.joinFailures.Allow():
		return
	}
	instance.recorder.Record(events.LogChanged, events.Fields{"group": GroupName, "kind": string(kind), "detail": detail})
}

// registerGroupMetrics registers gauges of the group's members. Those about reachability are 0 unless this instance leads.
func (instance *Instance) registerGroupMetrics(registry metrics.Registry) {
	for name, value := range map[string]func(s *replica.Status) int{
		"voters":         func(s *replica.Status) int { return len(s.Voters) },
		"learners":       func(s *replica.Status) int { return len(s.Learners) },
		"unreachable":    func(s *replica.Status) int { return len(s.Reachability.Unreachable) },
		"waiting":        func(s *replica.Status) int { return len(s.Reachability.Waiting) },
		"further_losses": func(s *replica.Status) int { return s.Reachability.FurtherLosses },
	} {
		metrics.NewRegisteredFunctionalGauge("group."+name, registry, func() int64 {
			s := instance.group.Status()
			return int64(value(&s))
		})
	}
}

func (instance *Instance) onRemoved() {
	select {
	case instance.removed <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends. api handles requests of targets and operators. After ErrRemoved the data of the replicated
// log can't be used again, see RemoveData.
func (instance *Instance) Run(ctx context.Context, api http.Handler, peerListener net.Listener) error {
	control, err := net.Listen("tcp", instance.opts.ControlListen)
	if err != nil {
		return errors.Wrap(err, "listen for targets and operators")
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	defer func() { _ = peerListener.Close() }() // before stop, which would close it some time later
	instance.registerHandlers()
	server := intake.NewServer(api)
	failed := make(chan error, 3)
	groupDone := make(chan struct{})
	go func() { failed <- instance.opts.Intake.Serve(server, control) }()
	go func() { failed <- instance.peers.Serve(background, peerListener) }()
	groupCtx, stopGroup := context.WithCancel(background)
	defer stopGroup()
	go func() {
		defer close(groupDone)
		if err := instance.group.Run(groupCtx); err != nil {
			failed <- err
		}
	}()
	go instance.watcher.Run(background)
	go instance.lag.run(background)
	go instance.confirm(background)
	go instance.director.Run(background)
	go instance.keepQuarantines(background)
	go instance.keepSizes(background)
	go instance.keepOrigins(background)
	instance.recorder.Record(events.Listening, events.Fields{"control": instance.opts.ControlListen, "peer": instance.opts.Name})
	select {
	case err := <-failed:
		return err
	case <-instance.removed:
		instance.recorder.Record(events.MemberRemoved, nil)
		return ErrRemoved
	case <-ctx.Done():
	}
	instance.recorder.Record(events.DrainStarted, nil)
	instance.director.Stop()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = server.Shutdown(shutdownCtx)
	stopGroup()
	select {
	case <-groupDone:
	case <-time.After(shutdownTimeout):
	}
	if err := instance.saveOrigins(time.Now(), instance.term()); err != nil {
		instance.recorder.Record(events.InternalError, events.Fields{"task": "origins", "error": err.Error()})
	}
	instance.recorder.Record(events.Stopped, nil)
	return nil
}

// ErrRemoved is returned by Run when the group has removed this instance while it was down or unreachable.
var ErrRemoved = errors.New("the group has removed this instance")

// confirm waits until a quorum has confirmed that the local configuration is the newest. A restarted control instance may
// lag behind the log, and a gateway that starts must not get an older configuration from it.
func (instance *Instance) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, readTimeout)
		err := instance.group.Barrier(attemptCtx)
		cancel()
		if err == nil {
			instance.confirmed.Store(true)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmInterval):
		}
	}
}

func (instance *Instance) registerHandlers() {
	groups := replicalink.Groups{GroupName: instance.group}
	handle(instance, peerapi.MethodRaftMessage, func(_ context.Context, m replicalink.Message) (any, error) {
		return peerapi.Empty{}, groups.HandleMessage(m)
	})
	handle(instance, peerapi.MethodRaftPropose, func(ctx context.Context, p replicalink.Propose) (any, error) {
		return groups.HandlePropose(ctx, p)
	})
	handle(instance, peerapi.MethodRaftFetch, func(ctx context.Context, f replicalink.Fetch) (any, error) {
		return groups.HandleFetch(ctx, f)
	})
	handle(instance, peerapi.MethodFleetWatch, func(ctx context.Context, r fleetapi.WatchRequest) (any, error) {
		lastContact := func() time.Time { return instance.lastContact(r.Gateway) }
		response := instance.view.ServeWatch(ctx, instance.epoch, instance.control, lastContact, r)
		if instance.withholdsConfig(time.Now()) {
			response.Document, response.Version = nil, 0
		}
		return response, nil
	})
	handle(instance, peerapi.MethodFleetLoad, func(_ context.Context, r fleetapi.LoadReport) (any, error) {
		return instance.director.Exchange(time.Now(), &r)
	})
	handle(instance, peerapi.MethodFleetCrashes, func(_ context.Context, r fleetapi.CrashReport) (any, error) {
		instance.view.MergeCrashes(time.Now(), r.Crashes)
		return peerapi.Empty{}, nil
	})
	handle(instance, peerapi.MethodFleetStreams, func(_ context.Context, r fleetapi.StreamReport) (any, error) {
		return peerapi.Empty{}, instance.putStreams(time.Now(), &r)
	})
	handle(instance, peerapi.MethodFleetOrigin, func(_ context.Context, q fleetapi.StreamQuery) (any, error) {
		return instance.streamOrigin(time.Now(), q), nil
	})
	handle(instance, peerapi.MethodFleetVersion, func(_ context.Context, o streamorigin.Origin) (any, error) {
		return peerapi.Empty{}, instance.recordVersion(time.Now(), o)
	})
	handle(instance, peerapi.MethodFleetDeparture, func(_ context.Context, d fleetapi.Departure) (any, error) {
		instance.markGone(d)
		return peerapi.Empty{}, nil
	})
	handle(instance, peerapi.MethodFleetDraining, func(_ context.Context, target roster.Key) (any, error) {
		instance.markDraining(target)
		return peerapi.Empty{}, nil
	})
	handle(instance, peerapi.MethodFleetPermit, func(_ context.Context, r fleetapi.PermitRequest) (any, error) {
		return instance.director.Permit(time.Now(), r)
	})
	handle(instance, peerapi.MethodFleetQuota, func(_ context.Context, r quota.GrantRequest) (any, error) {
		return instance.director.GrantQuota(time.Now(), r)
	})
	handle(instance, peerapi.MethodFleetStatus, func(context.Context, peerapi.Empty) (any, error) {
		leader, _ := instance.control()
		return fleetapi.StatusResponse{Leader: leader, Status: instance.director.Status(time.Now())}, nil
	})
	handle(instance, peerapi.MethodFleetAdapter, func(ctx context.Context, r fleetapi.AdapterRequest) (any, error) {
		return instance.director.Adapter(ctx, &r), nil
	})
}

// withholdsConfig reports whether watches are not told the configuration yet, see confirm.
func (instance *Instance) withholdsConfig(now time.Time) bool {
	return !instance.confirmed.Load() && now.Sub(instance.started) < serveUnconfirmedAfter
}

// lastContact returns when the view last held everything that the group had acknowledged. Gateways are told what this
// instance knows from watches of others as well, see fleetapi.WatchResponse.
func (instance *Instance) lastContact(gateway bool) time.Time {
	if instance.withholdsConfig(time.Now()) {
		return time.Time{}
	}
	at := instance.group.Status().CaughtUpAt
	if relayed := instance.watcher.ContactAt(); gateway && relayed.After(at) {
		at = relayed
	}
	return at
}

func handle[P any](instance *Instance, method string, serve func(ctx context.Context, params P) (any, error)) {
	instance.peers.Handle(method, func(ctx context.Context, _ peer.Sender, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, errors.Wrapf(err, "decode parameters of %s", method)
		}
		return serve(ctx, params)
	})
}

// control returns the leader and the members of the group; without members, those that the view knows.
func (instance *Instance) control() (leader string, members []string) {
	s := instance.group.Status()
	for _, id := range slices.Concat(s.Voters, s.Learners) {
		members = append(members, raft.MemberName(id))
	}
	if len(members) == 0 {
		_, members = instance.view.LeaderAndMembers()
	}
	return s.Leader, members
}

// Joined reports whether this instance is a voter or learner of the group. Only then does what it acknowledges reach
// other instances.
func (instance *Instance) Joined() bool {
	s := instance.group.Status()
	return s.Voter || slices.Contains(s.Learners, s.ID)
}

// ErrNotJoined is returned while this instance is neither a voter nor a learner of the group.
var ErrNotJoined = errors.New("this control instance has not joined the group yet")

// Heartbeat records a heartbeat of a target.
func (instance *Instance) Heartbeat(now time.Time, target roster.Target) error {
	if !instance.Joined() {
		return ErrNotJoined
	}
	if err := instance.admitVersion(now, &target); err != nil {
		return err
	}
	outcome, err := instance.view.ApplyHeartbeat(now, target)
	if err != nil {
		instance.recorder.Record(events.TargetRejected, events.Fields{"target": target.ID, "error": err.Error()})
		return err
	}
	if outcome == roster.Changed {
		definition := events.TargetJoined
		if target.State != roster.Ready {
			definition = events.TargetLeaving
		}
		instance.recorder.Record(definition, events.Fields{"target": target.ID, "born": target.StartedAtMs, "beat": target.HeartbeatSequence,
			"service": target.Service, "software": target.SoftwareVersion, "address": target.Address, "models": modelNames(target.Models)})
	}
	if target.State != roster.Ready {
		return instance.announceDraining(target.Key)
	}
	return nil
}

func modelNames(held []roster.Held) string {
	names := make([]string, len(held))
	for i, m := range held {
		names[i] = m.Model
	}
	return strings.Join(names, ",")
}

// ErrUncertain is returned for a change that may or may not take effect, and for a read that can't be confirmed to
// return the newest configuration.
var ErrUncertain = errors.New("no majority of control instances answered in time")

// ReplaceConfig proposes a configuration. The error is routes.Findings or a decoding error when the configuration is
// invalid, and ErrUncertain when it may or may not take effect. A version that is not newer is acknowledged without
// effect.
func (instance *Instance) ReplaceConfig(ctx context.Context, source []byte) error {
	document, err := instance.decode(source)
	if err != nil {
		instance.recorder.Record(events.ConfigRefused, events.Fields{"findings": err.Error()})
		return err
	}
	if findings := document.Check(); len(findings) > 0 {
		instance.recorder.Record(events.ConfigRefused, events.Fields{"version": document.Version, "findings": findings.Error()})
		return findings
	}
	if document.Version <= instance.view.Packed().Version {
		return nil
	}
	packed, err := routes.Pack(document.Version, source)
	if err != nil {
		return err
	}
	if _, err := instance.group.Propose(ctx, packed.Encode()); err != nil {
		instance.recorder.Record(events.ConfigUncertain, events.Fields{"version": document.Version, "error": err.Error()})
		return errors.Wrap(ErrUncertain, err.Error())
	}
	instance.recorder.Record(events.ConfigAccepted, events.Fields{"version": document.Version})
	return nil
}

// ReadConfig returns the newest configuration, byte for byte as it was submitted.
func (instance *Instance) ReadConfig(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := instance.group.Barrier(ctx); err != nil {
		return nil, errors.Wrap(ErrUncertain, err.Error())
	}
	packed := instance.view.Packed()
	if packed.Version == 0 {
		return nil, errors.Wrap(ErrUncertain, "this instance has no configuration yet")
	}
	return packed.Unpack()
}

// removedSuffix ends the name of the folder of a replicated log that is being deleted.
const removedSuffix = ".removed"

// RemoveData deletes the replicated log of an instance that was removed from the group, so that it can join as a new
// member. The group may have seen versions in the meantime that this instance does not know.
//
// The folder is renamed first: a log without its identity file, or the reverse, can't be opened again, so a deletion that
// is interrupted must not leave one.
func RemoveData(dataDir string) error { return removeData(dataDir, os.RemoveAll) }

func removeData(dataDir string, removeAll func(path string) error) error {
	if err := os.Remove(filepath.Join(dataDir, originsFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "remove the origins of streams")
	}
	folder := filepath.Join(dataDir, GroupName)
	if err := removeAll(folder + removedSuffix); err != nil { // of an earlier attempt
		return errors.Wrap(err, "remove the replicated log")
	}
	if err := os.Rename(folder, folder+removedSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "rename the replicated log")
	}
	// A loss of power must not undo the rename and keep the removals.
	if err := wal.SyncDir(dataDir); err != nil {
		return errors.Wrap(err, "rename the replicated log")
	}
	return errors.Wrap(removeAll(folder+removedSuffix), "remove the replicated log")
}

// finishRemoval deletes what an interrupted RemoveData has left.
func finishRemoval(dataDir string) error {
	return errors.Wrap(os.RemoveAll(filepath.Join(dataDir, GroupName+removedSuffix)), "remove the replicated log")
}
