// Package instance assembles one instance: it opens the state, connects the decision packages to the transports and
// owns all goroutines and clocks.
package instance

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/admissionqueue"
	"github.com/tarragonhoist/tarragonhoist/instance/controller"
	"github.com/tarragonhoist/tarragonhoist/instance/crashsuspects"
	"github.com/tarragonhoist/tarragonhoist/instance/drain"
	"github.com/tarragonhoist/tarragonhoist/instance/feasibility"
	"github.com/tarragonhoist/tarragonhoist/instance/processlimit"
	"github.com/tarragonhoist/tarragonhoist/instance/replicalink"
	"github.com/tarragonhoist/tarragonhoist/instance/servicecalls"
	"github.com/tarragonhoist/tarragonhoist/instance/shareusage"
	"github.com/tarragonhoist/tarragonhoist/instance/targets"
	"github.com/tarragonhoist/tarragonhoist/instance/timeline"
	"github.com/tarragonhoist/tarragonhoist/instance/version"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/peer"
)

const (
	pollInterval = 50 * time.Millisecond
	// barrierTimeout leaves time for a leader election.
	barrierTimeout = 5 * time.Second
	// outcomeTimeout limits how long a shutdown waits for pending call outcomes after the last request has ended.
	outcomeTimeout = 2 * time.Second
)

// Instance is one running instance.
type Instance struct {
	settings    *settings.Settings
	recorder    *events.Recorder
	gate        *drain.Gate
	peers       *peer.Transport
	groups      replicalink.Groups
	config      *replica.Group
	targets     *targets.Registry
	waiter      *admissionqueue.Waiter
	suspects    *crashsuspects.Table
	lease       *controller.Lease
	director    *controller.Director
	usage       *shareusage.Exchange
	feasibility *feasibility.Checker
	ledger      *servicecalls.Ledger
	timeline    *timeline.Reader
	backend     *backend
	server      *httpapi.Server
}

// Serve runs an instance until ctx is cancelled and the last request in progress has been answered.
func Serve(ctx context.Context, s *settings.Settings) error {
	if s.MemoryMB > 0 {
		processlimit.Memory(s.MemoryMB)
	}
	if err := processlimit.LimitOpenFiles(s.MaxFDs); err != nil {
		return err
	}
	i, err := build(s)
	if err != nil {
		return err
	}
	return i.run(ctx)
}

// run starts all tasks. They keep running after ctx is cancelled until the drain is complete.
func (i *Instance) run(ctx context.Context) error {
	i.recordStart()
	httpListener, err := net.Listen("tcp", i.settings.ListenHTTP)
	if err != nil {
		return errors.Wrap(err, "open the listener of listen_http")
	}
	peerListener, err := net.Listen("tcp", i.settings.ListenPeer)
	if err != nil {
		return errors.Wrap(err, "open the listener of listen_peer")
	}
	i.recorder.Record(events.Listening, events.Fields{"http": httpListener.Addr().String(), "peer": peerListener.Addr().String()})
	background, stop := context.WithCancel(context.Background())
	defer stop()
	tasks, background := errgroup.WithContext(background)
	for method, serve := range i.handlers() {
		i.peers.Handle(method, serve)
	}
	tasks.Go(func() error { return i.peers.Serve(background, peerListener) })
	for _, group := range i.groups {
		tasks.Go(func() error { return group.Run(background) })
	}
	tasks.Go(func() error { i.targets.Run(background); return nil })
	tasks.Go(func() error { i.waiter.Run(background); return nil })
	tasks.Go(func() error { i.usage.Run(background); return nil })
	tasks.Go(func() error { i.suspects.Run(background); return nil })
	tasks.Go(func() error { i.director.Run(background); return nil })
	tasks.Go(func() error { i.ledger.Serve(background); return nil })
	leaseCtx, cancelLease := context.WithCancel(background)
	defer cancelLease()
	leaseReleased := make(chan struct{})
	tasks.Go(func() error {
		defer close(leaseReleased)
		i.lease.Run(leaseCtx)
		return nil
	})
	tasks.Go(func() error { return i.server.Serve(background, httpListener) })
	tasks.Go(func() error { i.becomeReady(background); return nil })
	tasks.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			i.drain()
			cancelLease()
			<-leaseReleased
		case <-background.Done():
		}
		return nil
	})
	err = tasks.Wait()
	i.recorder.Record(events.Stopped, nil)
	return err
}

func (i *Instance) recordStart() {
	s := i.settings
	i.recorder.Record(events.Starting, events.Fields{
		"version": version.String(), "cluster": s.Cluster, "instance": s.Instance, "data_centre": s.DataCentre, "voter": s.IsVoter()})
	for _, warning := range insecure(s) {
		i.recorder.Record(events.Insecure, events.Fields{"what": warning})
	}
}

// insecure lists the interfaces that the settings leave without authentication.
func insecure(s *settings.Settings) []string {
	var list []string
	if len(s.Callers) == 0 {
		list = append(list, "no caller tokens are configured: any client can use any caller's name")
	}
	if len(s.Operators) == 0 {
		list = append(list, "no operator tokens are configured: any client can submit release notes")
	}
	if !s.TLS.Enabled() {
		list = append(list, "connections between instances do not use TLS")
	}
	return list
}

// becomeReady reports the instance as ready once it has applied the config log, so that no caller reaches an instance
// without models.
func (i *Instance) becomeReady(ctx context.Context) {
	// The barrier keeps an instance without a disk from serving an older state than before its restart. It needs a
	// quorum.
	barrierCtx, cancel := context.WithTimeout(ctx, barrierTimeout)
	err := i.config.Barrier(barrierCtx)
	cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for err != nil && !i.canServeWithoutQuorum() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	i.gate.SetReady(true)
}

// canServeWithoutQuorum reports whether this instance can serve although the barrier failed: it has caught up with
// another instance, or it has state on its own disk, which lets a partitioned data centre continue to serve.
func (i *Instance) canServeWithoutQuorum() bool {
	status := i.config.Status()
	return status.CaughtUp || i.settings.DataFolder != "" && status.Applied > 0
}

// drain shuts down without aborting requests: it reports not ready, waits for the drain delay, refuses new requests and
// waits for the last one in progress.
func (i *Instance) drain() {
	i.gate.SetReady(false)
	i.recorder.Record(events.DrainStarted, events.Fields{"active": i.gate.Active()})
	time.Sleep(i.settings.DrainDelay.Duration)
	i.gate.Close()
	i.recorder.Record(events.DrainRefusing, events.Fields{"active": i.gate.Active()})
	// No timeout: the platform's kill timeout already bounds this wait, and a shorter one would only abort requests.
	_ = i.gate.Wait(context.Background())
	i.waitForCallOutcomes()
}

// waitForCallOutcomes waits up to outcomeTimeout until the outcomes of the last calls are recorded in the calls log. A
// call whose outcome is not recorded by then counts as one that may have run.
func (i *Instance) waitForCallOutcomes() {
	deadline := time.Now().Add(outcomeTimeout)
	for i.ledger.Pending() > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}
