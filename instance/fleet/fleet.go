// Package fleet assembles gateways and control instances from their settings and an adapter for the platform on which
// they run.
package fleet

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/controlinstance"
	"github.com/tarragonhoist/tarragonhoist/instance/fleetview"
	"github.com/tarragonhoist/tarragonhoist/instance/logsink"
	"github.com/tarragonhoist/tarragonhoist/instance/processlimit"
	"github.com/tarragonhoist/tarragonhoist/instance/version"
	"github.com/tarragonhoist/tarragonhoist/protocol/dialect"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/transport/intake"
	"github.com/tarragonhoist/tarragonhoist/transport/peer"
	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

// PlatformAdapter translates between a platform and this system.
type PlatformAdapter struct {
	Headers      dialect.Headers
	ReadPrompt   dialect.PromptDecoder
	CountTokens  dialect.TokenCounter
	ReadyPath    string
	DecodeConfig fleetview.Decode
	// DialTarget opens connections of gateways to targets; nil stands for plain TCP.
	DialTarget upstream.Dial
	// NewOrderClient and NewAPIHandler are used by control instances.
	NewOrderClient func(*upstream.Client) controlinstance.OrderClient
	NewAPIHandler  func(*controlinstance.Instance) http.Handler
}

const (
	// clusterName names the deployment in the handshake between processes.
	clusterName = "fleet"
	// peerPingInterval and peerPingTimeout detect broken connections well within the time in which a change has to arrive.
	peerPingInterval = 500 * time.Millisecond
	peerPingTimeout  = 700 * time.Millisecond
	peerDialTimeout  = 800 * time.Millisecond
	peerMaxBackoff   = 400 * time.Millisecond
	// incarnationRetention is how long older incarnations of a peer are refused. It is short, since the clock of an
	// instance without a disk may be set back.
	incarnationRetention = time.Second
	// peerBytesPerSecond bounds the traffic between processes well below the slowest link, 10 Mbit/s.
	peerBytesPerSecond = 1 << 20
	// maxKeptEvents is the number of events that one process keeps for the time line.
	maxKeptEvents = 2000
	// repeatBudgetShare is the share of the budget for repeated sends that is used, so that unevenly loaded gateways
	// together stay below it.
	repeatBudgetShare = 0.6
	// reloadInterval is the time without an answer of a control instance after which the settings are read again.
	reloadInterval = 5 * time.Second
	// orderConnectTimeout bounds connecting to a target to send it an order.
	orderConnectTimeout = 300 * time.Millisecond
)

// process is what gateways and control instances have in common.
type process struct {
	node     *settings.Node
	sink     *logsink.Sink
	recorder *events.Recorder
	registry metrics.Registry
	view     *fleetview.View
	watcher  *fleetview.Watcher
	peers    *peer.Transport
	clients  *intake.Pool
}

// isAddress reports whether the name of a peer is its address.
func isAddress(name string) bool {
	_, _, err := net.SplitHostPort(name)
	return err == nil
}

// recordPeerEvent records a change of the connection to another process.
func recordPeerEvent(recorder *events.Recorder, e peer.Event) {
	definition := events.PeerUnreachable
	switch e.Kind {
	case peer.Reachable:
		definition = events.PeerReachable
	case peer.Rejected:
		definition = events.PeerRejected
	}
	fields := events.Fields{"peer": e.Peer}
	if e.Err != nil {
		fields["error"] = e.Err.Error()
	}
	recorder.Record(definition, fields)
}

func (p *process) start(ctx context.Context, role string) error {
	go p.clients.Run(ctx)
	go p.sink.Run(ctx, func(lines int64) { p.recorder.Record(events.LogsDropped, events.Fields{"lines": lines}) })
	p.recorder.Record(events.Starting, events.Fields{"version": version.String(), "role": role, "name": p.node.Name,
		"data_centre": p.node.DataCentre, "peer": p.node.PeerName(), "first_start": p.node.FirstStart, "seeds": p.node.SeedNames()})
	if p.node.ListenMetrics == "" {
		return nil
	}
	listener, err := net.Listen("tcp", p.node.ListenMetrics)
	if err != nil {
		return errors.Wrap(err, "listen for metrics requests")
	}
	go func() {
		err := p.clients.Serve(intake.NewServer(http.HandlerFunc(p.serveMetrics)), listener)
		p.recorder.Record(events.InternalError, events.Fields{"problem": "metrics", "error": err.Error()})
	}()
	return nil
}

func (p *process) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(p.registry, w)
}

// reload reads the settings again and applies new seeds, which alone may change while a process runs.
func (p *process) reload(path string) {
	node, err := settings.LoadNode(path)
	if err != nil {
		p.recorder.Record(events.InternalError, events.Fields{"problem": "settings", "error": err.Error()})
		return
	}
	if !slices.Equal(node.SeedNames(), p.node.SeedNames()) {
		p.view.AddControlInstances(node.SeedNames())
	}
	p.recorder.Record(events.Reloaded, events.Fields{"seeds": node.SeedNames()})
}

// RunGateway serves callers until ctx ends. For each value from reloads, it reads the settings file at path again.
func RunGateway(ctx context.Context, path string, node *settings.Node, adapter *PlatformAdapter, reloads <-chan os.Signal) error {
	processlimit.Memory(node.MemoryMB)
	if err := processlimit.LimitOpenFiles(node.MaxFDs); err != nil {
		return err
	}
	assembled, err := buildGateway(node, adapter)
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	if err := assembled.process.start(background, "gateway"); err != nil {
		return err
	}
	go assembled.process.runReloads(background, path, reloads)
	err = assembled.gateway.Run(ctx)
	stop()
	assembled.process.peers.Close()
	return err
}

// RunControl serves targets, operators and gateways until ctx ends.
func RunControl(ctx context.Context, path string, node *settings.Node, adapter *PlatformAdapter, reloads <-chan os.Signal) error {
	processlimit.Memory(node.MemoryMB)
	if err := processlimit.LimitOpenFiles(node.MaxFDs); err != nil {
		return err
	}
	assembled, err := buildControl(node, adapter)
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	if err := assembled.process.start(background, "control"); err != nil {
		return err
	}
	go assembled.process.runReloads(background, path, reloads)
	listener, err := net.Listen("tcp", node.PeerName())
	if err != nil {
		return errors.Wrap(err, "listen for peer connections")
	}
	err = assembled.instance.Run(ctx, adapter.NewAPIHandler(assembled.instance), listener)
	if errors.Is(err, controlinstance.ErrRemoved) {
		return errors.Wrap(controlinstance.RemoveData(node.DataFolder), "remove the data of an instance that is no longer a member")
	}
	return err
}

// runReloads reads the settings again at each signal and, at each reloadInterval, while no control instance answers: the
// seeds may have changed without a signal.
func (p *process) runReloads(ctx context.Context, path string, reloads <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			p.reload(path)
		case <-ticker.C:
			if p.watcher.HeardWithin(time.Now(), reloadInterval) == 0 {
				p.reload(path)
			}
		}
	}
}
