// Package feasibility checks whether the models of a release note fit into the memory of all reachable engines.
package feasibility

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/membership"
	"github.com/tarragonhoist/tarragonhoist/coordination/placement"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
	"github.com/tarragonhoist/tarragonhoist/state/memledger"
)

const (
	readTimeout = time.Second
	// peerTimeout leaves time to query other instances of a data centre when one does not respond.
	peerTimeout = readTimeout / 4
)

// Peers calls other instances.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

// Table lists the targets of the data centre.
type Table interface{ All() []*membership.Entry }

// ErrNoEngines is returned when no engine is known in any reachable data centre, for example right after a start.
var ErrNoEngines = errors.New("no model engine has announced itself yet, so memory can't be checked")

// Checker checks release notes.
type Checker struct {
	settings *settings.Settings
	table    Table
	peers    Peers
	now      func() time.Time
}

// New returns a checker for the data centre in the settings.
func New(s *settings.Settings, table Table, peers Peers, now func() time.Time) *Checker {
	return &Checker{settings: s, table: table, peers: peers, now: now}
}

// Engines lists the engines of this data centre and what is resident on them.
func (c *Checker) Engines() []peerapi.Engine {
	now := c.now()
	var list []peerapi.Engine
	for _, e := range c.table.All() {
		a := &e.Announcement
		if a.Kind != targetapi.Engine {
			continue
		}
		list = append(list, peerapi.Engine{
			Name: a.Target, FailureDomain: a.FailureDomain, CapacityBytes: a.CapacityBytes - a.ReserveBytes,
			Leaving: !e.Usable(now), Residents: a.Residents,
		})
	}
	return list
}

// Targets converts engines to placement targets.
func Targets(engines []peerapi.Engine) []placement.Target {
	list := make([]placement.Target, 0, len(engines))
	for _, e := range engines {
		t := placement.Target{Name: e.Name, FailureDomain: e.FailureDomain, CapacityBytes: e.CapacityBytes, Draining: e.Leaving}
		for _, r := range e.Residents {
			t.Residents = append(t.Residents, memledger.Resident{
				Item: memledger.Item{Model: r.Model, Version: r.Version, Adapter: r.Adapter}, Bytes: r.Bytes, State: r.State,
			})
		}
		list = append(list, t)
	}
	return list
}

// Check lists the models and adapters of next that can't be loaded within the memory of the engines. It leaves out
// unreachable data centres; their controllers load the active models as far as their memory allows.
func (c *Checker) Check(ctx context.Context, next *catalog.ActiveConfig) ([]tomlfile.Finding, error) {
	models := placement.ModelsOf(next)
	if len(models) == 0 {
		return nil, nil
	}
	var inputs []placement.Input
	engines := 0
	for dataCentre, targets := range c.Read(ctx) {
		engines += len(targets)
		inputs = append(inputs, placement.Input{DataCentre: dataCentre, Targets: targets, Models: models, ReplicaRate: 1})
	}
	if engines == 0 {
		return nil, ErrNoEngines
	}
	return placement.Feasible(inputs), nil
}

// Read returns the engines by data centre: those of this data centre, and for each other one the engines that one of its
// instances reports. Unreachable data centres are missing.
func (c *Checker) Read(ctx context.Context) map[string][]placement.Target {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	byDataCentre := map[string][]placement.Target{c.settings.DataCentre: Targets(c.Engines())}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, dataCentre := range c.settings.DataCentres() {
		if dataCentre == c.settings.DataCentre {
			continue
		}
		wg.Go(func() {
			targets, ok := c.readDataCentre(ctx, dataCentre)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			byDataCentre[dataCentre] = targets
		})
	}
	wg.Wait()
	return byDataCentre
}

// readDataCentre queries the instances of a data centre in turn until one responds.
func (c *Checker) readDataCentre(ctx context.Context, dataCentre string) ([]placement.Target, bool) {
	for _, peer := range c.settings.InstancesOf(dataCentre) {
		if ctx.Err() != nil {
			break
		}
		if engines, err := c.readPeer(ctx, peer); err == nil {
			return Targets(engines), true
		}
	}
	return nil, false
}

func (c *Checker) readPeer(ctx context.Context, peer string) ([]peerapi.Engine, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var answer peerapi.EnginesResponse
	err := c.peers.Call(ctx, peer, peerapi.MethodEngines, peerapi.Empty{}, &answer)
	return answer.Engines, err
}
