// Package hub is a control instance: it takes configurations and heartbeats, keeps the configuration in a replicated
// log, tells gateways what it knows and, as the leader, gives orders to targets.
package hub

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/coordination/raft"
	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/instance/replicalink"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/state/routes"
	"github.com/tarragonhoist/tarragonhoist/transport/peer"
)

// GroupName is the name of the replicated log of the configuration.
const GroupName = "fleet"

const (
	// electionTimeout is the time without a leader before an election. It covers a pause of a process on a shared core.
	electionTimeout = 700 * time.Millisecond
	heartbeatPause  = 120 * time.Millisecond
	// joinInterval is short, since a replaced instance counts as lost until it is a voter.
	joinInterval = 200 * time.Millisecond
	// replacedVoterTimeout and lostVoterTimeout say when a silent voter is removed, see raft.SilentTimeouts.
	replacedVoterTimeout = 1500 * time.Millisecond
	lostVoterTimeout     = 12 * time.Second
	// proposeTimeout bounds a change of the configuration. Operators ask another instance after a second.
	proposeTimeout = 2500 * time.Millisecond
	// readTimeout bounds a certain read of the configuration.
	readTimeout = 1500 * time.Millisecond
	// unconfirmedAfter is the time after the start from which the configuration on disk is told to gateways although no
	// majority confirmed that it is the newest.
	unconfirmedAfter = 6 * time.Second
	// confirmPause is the time between attempts to confirm it.
	confirmPause = 100 * time.Millisecond
	// stopGrace bounds what is left to do at a stop.
	stopGrace = time.Second
)

// Options of a control instance.
type Options struct {
	// Name is the address of this instance for other processes of the system; it is also its name.
	Name          string
	DataCentre    string
	ControlListen string // for targets and operators
	DataDir       string
	Seeds         []string // names of control instances to ask first
	// Found is set at the first start of the whole deployment.
	Found bool
	// Lease is the time within which no two instances may give orders.
	Lease time.Duration
}

// Hub is one control instance.
type Hub struct {
	opts     Options
	epoch    uint64
	view     *fleetview.View
	watcher  *fleetview.Watcher
	peers    *peer.Transport
	group    *replica.Group
	decode   fleetview.Decode
	director *Director
	recorder *events.Recorder
	// confirmed is set once the configuration held here is known to have been the newest at some time after the start.
	confirmed atomic.Bool
	started   time.Time
	removed   chan struct{}
}

// New opens the replicated log and assembles a control instance.
func New(opts Options, epoch uint64, view *fleetview.View, watcher *fleetview.Watcher, peers *peer.Transport,
	decode fleetview.Decode, orders Orders, recorder *events.Recorder, registry metrics.Registry) (*Hub, error) {
	h := &Hub{opts: opts, epoch: epoch, view: view, watcher: watcher, peers: peers, decode: decode, recorder: recorder,
		started: time.Now(), removed: make(chan struct{}, 1)}
	store := routes.NewStore(h.inForce)
	link := replicalink.New(GroupName, peers)
	group := replica.Options{
		Name: GroupName, Self: opts.Name, Voters: opts.Seeds, Dynamic: true, DataDir: opts.DataDir, Machine: store,
		Sender: link, Caller: link, OnEvent: h.onGroupEvent, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatPause,
		ProposeTimeout: proposeTimeout, JoinInterval: joinInterval, OnRemoved: h.onRemoved,
		SilentVoters:  raft.SilentTimeouts{Replaced: replacedVoterTimeout, Lost: lostVoterTimeout},
		MaxEntryBytes: maxEntryBytes, SnapshotEvery: snapshotEvery, SnapshotBytes: snapshotBytes,
	}
	if opts.Found && slices.Contains(opts.Seeds, opts.Name) {
		group.Founders = opts.Seeds
	}
	var err error
	if h.group, err = replica.Open(group); err != nil {
		return nil, err
	}
	h.director = newDirector(opts, view, h.group, orders, recorder, registry)
	return h, nil
}

const (
	// maxEntryBytes keeps a compressed configuration in one frame between instances, in base64.
	maxEntryBytes = 640 << 10
	// snapshotEvery and snapshotBytes keep the log far below the disk of a small instance.
	snapshotEvery = 200
	snapshotBytes = 2 << 20
)

func (h *Hub) inForce(p routes.Packed) {
	if err := h.view.SetDocument(p); err != nil {
		h.recorder.Record(events.InternalError, events.Fields{"error": err.Error()})
		return
	}
	h.recorder.Record(events.ConfigInForce, events.Fields{"version": p.Version, "bytes": len(p.Data)})
}

func (h *Hub) onGroupEvent(kind replica.EventKind, detail string) {
	if kind == replica.EventJoinFailed || kind == replica.EventMessageRefused {
		return // repeated for as long as the cause lasts; the status tells it
	}
	h.recorder.Record(events.LogChanged, events.Fields{"group": GroupName, "kind": string(kind), "detail": detail})
}

func (h *Hub) onRemoved() {
	select {
	case h.removed <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends. api answers targets and operators. ErrRemoved means that the data folder is of no more use.
func (h *Hub) Run(ctx context.Context, api http.Handler, peerListener net.Listener) error {
	control, err := net.Listen("tcp", h.opts.ControlListen)
	if err != nil {
		return errors.Wrap(err, "listen for targets and operators")
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	h.registerHandlers()
	server := &http.Server{Handler: api, ReadHeaderTimeout: controlHeaderTimeout}
	failed := make(chan error, 3)
	groupDone := make(chan struct{})
	go func() { failed <- server.Serve(control) }()
	go func() { failed <- h.peers.Serve(background, peerListener) }()
	groupCtx, stopGroup := context.WithCancel(background)
	defer stopGroup()
	go func() {
		defer close(groupDone)
		if err := h.group.Run(groupCtx); err != nil {
			failed <- err
		}
	}()
	go h.watcher.Run(background)
	go h.confirm(background)
	go h.director.Run(background)
	h.recorder.Record(events.Listening, events.Fields{"control": h.opts.ControlListen, "peer": h.opts.Name})
	select {
	case err := <-failed:
		return err
	case <-h.removed:
		h.recorder.Record(events.MemberRemoved, nil)
		return ErrRemoved
	case <-ctx.Done():
	}
	h.recorder.Record(events.DrainStarted, nil)
	h.director.Stop()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	_ = server.Shutdown(shutdownCtx)
	stopGroup()
	select {
	case <-groupDone:
	case <-time.After(stopGrace):
	}
	h.recorder.Record(events.Stopped, nil)
	return nil
}

// controlHeaderTimeout bounds reading the head of a request of a target or operator.
const controlHeaderTimeout = 10 * time.Second

// ErrRemoved is returned by Run when the group has removed this instance while it was away.
var ErrRemoved = errors.New("the group has removed this instance")

// confirm waits until a majority has confirmed that the configuration held here is the newest. A control instance that
// restarts may be behind, and a gateway that starts must not take an older configuration from it.
func (h *Hub) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, readTimeout)
		err := h.group.Barrier(attempt)
		cancel()
		if err == nil {
			h.confirmed.Store(true)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmPause):
		}
	}
}

func (h *Hub) registerHandlers() {
	groups := replicalink.Groups{GroupName: h.group}
	handle(h, peerapi.MethodRaftMessage, func(_ context.Context, m replicalink.Message) (any, error) {
		return peerapi.Empty{}, groups.HandleMessage(m)
	})
	handle(h, peerapi.MethodRaftPropose, func(ctx context.Context, p replicalink.Propose) (any, error) {
		return groups.HandlePropose(ctx, p)
	})
	handle(h, peerapi.MethodRaftFetch, func(ctx context.Context, f replicalink.Fetch) (any, error) {
		return groups.HandleFetch(ctx, f)
	})
	handle(h, peerapi.MethodFleetWatch, func(ctx context.Context, r fleetapi.Watch) (any, error) {
		news := h.view.ServeWatch(ctx, h.epoch, h.control, r)
		if !h.confirmed.Load() && time.Since(h.started) < unconfirmedAfter {
			news.Document, news.Version = nil, 0
		}
		return news, nil
	})
	handle(h, peerapi.MethodFleetLoad, func(_ context.Context, r fleetapi.LoadReport) (any, error) {
		return h.director.Exchange(time.Now(), &r)
	})
	handle(h, peerapi.MethodFleetAdapter, func(ctx context.Context, r fleetapi.AdapterRequest) (any, error) {
		return h.director.Adapter(ctx, &r), nil
	})
}

func handle[P any](h *Hub, method string, serve func(ctx context.Context, params P) (any, error)) {
	h.peers.Handle(method, func(ctx context.Context, _ peer.Sender, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, errors.Wrapf(err, "parameters of %s", method)
		}
		return serve(ctx, params)
	})
}

// control tells the leader and the control instances that the group knows.
func (h *Hub) control() (leader string, members []string) {
	s := h.group.Status()
	for _, id := range slices.Concat(s.Voters, s.Learners) {
		members = append(members, raft.MemberName(id))
	}
	if len(members) == 0 {
		_, members = h.view.Control()
	}
	return s.Leader, members
}

// Joined tells whether this instance belongs to the group, so that what it acknowledges reaches others.
func (h *Hub) Joined() bool {
	s := h.group.Status()
	return s.Voter || slices.Contains(s.Learners, s.ID)
}

// ErrNotJoined is returned while this instance does not belong to the group.
var ErrNotJoined = errors.New("this control instance has not joined the group yet")

// Heartbeat takes a heartbeat of a target.
func (h *Hub) Heartbeat(now time.Time, target roster.Target) error {
	if !h.Joined() {
		return ErrNotJoined
	}
	outcome, err := h.view.Observe(now, target)
	if err != nil {
		h.recorder.Record(events.TargetRejected, events.Fields{"target": target.ID, "error": err.Error()})
		return err
	}
	if outcome == roster.Changed {
		definition := events.TargetJoined
		if target.State != roster.Ready {
			definition = events.TargetLeaving
		}
		h.recorder.Record(definition, events.Fields{"target": target.ID, "born": target.Born, "beat": target.Beat,
			"service": target.Service, "address": target.Address, "models": modelNames(target.Models)})
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

// Leave takes the goodbye of a target.
func (h *Hub) Leave(id string, born int64) error {
	if !h.Joined() {
		return ErrNotJoined
	}
	if h.view.Leave(id, born) {
		h.recorder.Record(events.TargetLeaving, events.Fields{"target": id, "born": born, "state": "gone"})
	}
	return nil
}

// ErrUncertain is returned for a change that may or may not come into force, and for a read that cannot be certain.
var ErrUncertain = errors.New("no majority of control instances answered in time")

// Replace proposes a configuration. The error is routes.Findings or another decoding error when it is invalid, and
// ErrUncertain when it may or may not come into force.
func (h *Hub) Replace(ctx context.Context, source []byte) error {
	document, err := h.decode(source)
	if err != nil {
		h.recorder.Record(events.ConfigRefused, events.Fields{"findings": err.Error()})
		return err
	}
	if findings := document.Check(); len(findings) > 0 {
		h.recorder.Record(events.ConfigRefused, events.Fields{"version": document.Version, "findings": findings.Error()})
		return findings
	}
	if document.Version <= h.view.Packed().Version {
		return nil
	}
	packed, err := routes.Pack(document.Version, source)
	if err != nil {
		return err
	}
	if _, err := h.group.Propose(ctx, packed.Encode()); err != nil {
		h.recorder.Record(events.ConfigUncertain, events.Fields{"version": document.Version, "error": err.Error()})
		return errors.Wrap(ErrUncertain, err.Error())
	}
	h.recorder.Record(events.ConfigAccepted, events.Fields{"version": document.Version})
	return nil
}

// Read returns the newest configuration as it was received.
func (h *Hub) Read(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := h.group.Barrier(ctx); err != nil {
		return nil, errors.Wrap(ErrUncertain, err.Error())
	}
	packed := h.view.Packed()
	if packed.Version == 0 {
		return nil, errors.Wrap(ErrUncertain, "no configuration is known")
	}
	return packed.Unpack()
}

// RemoveData removes the data of an instance that the group has removed, so that it joins as a new member.
func RemoveData(dataDir string) error {
	return errors.Wrap(os.RemoveAll(filepath.Join(dataDir, GroupName)), "remove the replicated log")
}
