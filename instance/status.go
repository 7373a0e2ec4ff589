package instance

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/membership"
	"github.com/tarragonhoist/tarragonhoist/coordination/placement"
	"github.com/tarragonhoist/tarragonhoist/instance/activeconfig"
	"github.com/tarragonhoist/tarragonhoist/instance/callpolicy"
	"github.com/tarragonhoist/tarragonhoist/instance/controller"
	"github.com/tarragonhoist/tarragonhoist/instance/drain"
	"github.com/tarragonhoist/tarragonhoist/instance/replicalink"
	"github.com/tarragonhoist/tarragonhoist/instance/targets"
	"github.com/tarragonhoist/tarragonhoist/instance/version"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/state/callledger"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/peer"
)

const (
	statusTimeout = time.Second
	// maxStatusPeers limits the number of instances that one status request queries.
	maxStatusPeers = 64
)

// statusReader collects the status report for operators.
type statusReader struct {
	settings *settings.Settings
	gate     *drain.Gate
	view     *activeconfig.View
	targets  *targets.Registry
	policy   *callpolicy.Policy
	groups   replicalink.Groups
	peers    *peer.Transport
	ledger   *callledger.Machine
	lease    *controller.Lease
	director *controller.Director
}

func (r *statusReader) read(ctx context.Context) httpapi.Status {
	s := r.settings
	status := httpapi.Status{
		Version: version.String(), Cluster: s.Cluster, Instance: s.Instance, DataCentre: s.DataCentre,
		Ready: r.gate.Ready(), Insecure: insecure(s), Instances: r.instances(ctx),
	}
	for _, name := range []string{groupConfig, groupCalls} {
		if group, ok := r.groups[name]; ok {
			status.Logs = append(status.Logs, logStatus(name, group))
		}
	}
	status.Control = r.controlStatus()
	entries := r.targets.Table().All()
	status.Models = r.models(entries)
	for _, m := range status.Models {
		if m.Ready == 0 {
			status.Waiting = append(status.Waiting, fmt.Sprintf("%s has no ready replica in %s", m.Name, s.DataCentre))
		}
	}
	for _, m := range r.director.Missing() {
		status.Waiting = append(status.Waiting, fmt.Sprintf("%s does not fit into the engine memory of %s: the best engine is %d bytes short", missingName(m), s.DataCentre, m.Bytes))
	}
	status.Targets = r.targetStatus(entries)
	status.UnresolvedCalls = r.unresolvedCalls()
	return status
}

func missingName(m placement.Unplaced) string {
	if m.Adapter == "" {
		return m.Model
	}
	return catalog.AdapterKey(m.Model, m.Adapter)
}

// controlStatus returns the lease holder as known to this instance. Only the holder itself knows for certain that it
// still holds the lease.
func (r *statusReader) controlStatus() httpapi.ControlStatus {
	if fence, ok := r.lease.Held(); ok {
		return httpapi.ControlStatus{Holder: r.settings.Instance, FencingNumber: fence, OpenOrders: r.director.OpenOrders()}
	}
	if holder, fence := r.lease.LastVote(); holder != r.settings.Instance {
		return httpapi.ControlStatus{Holder: holder, FencingNumber: fence}
	}
	return httpapi.ControlStatus{}
}

// maxUnresolved limits the number of calls in one status report.
const maxUnresolved = 100

// unresolvedCalls lists the calls that are in progress or may have run. Only voters store the call ledger.
func (r *statusReader) unresolvedCalls() []httpapi.UnresolvedStatus {
	records, _ := r.ledger.Unresolved(maxUnresolved)
	list := make([]httpapi.UnresolvedStatus, 0, len(records))
	for _, record := range records {
		list = append(list, httpapi.UnresolvedStatus{
			Caller: record.Call.Caller, Service: record.Call.Service, Key: record.Call.Key, State: string(record.State),
			SinceMs: record.ReservedMs,
		})
	}
	return list
}

// instances queries the other instances for their applied index of the config log.
func (r *statusReader) instances(ctx context.Context) []httpapi.InstanceStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	peers := r.settings.Peers[:min(len(r.settings.Peers), maxStatusPeers)]
	list := make([]httpapi.InstanceStatus, len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() { list[i] = r.instance(ctx, p) })
	}
	wg.Wait()
	return list
}

func (r *statusReader) instance(ctx context.Context, p settings.Peer) httpapi.InstanceStatus {
	status := httpapi.InstanceStatus{Name: p.Name, DataCentre: p.DataCentre}
	if p.Name == r.settings.Instance {
		status.Reachable, status.AppliedIndex = true, r.groups[groupConfig].Status().Applied
		return status
	}
	var answer peerapi.StatusResponse
	if err := r.peers.Call(ctx, p.Name, peerapi.MethodStatus, peerapi.Empty{}, &answer); err == nil {
		status.Reachable, status.AppliedIndex = true, answer.Applied
	}
	return status
}

// models counts the ready and loading replicas of each active model and adapter.
func (r *statusReader) models(entries []*membership.Entry) []httpapi.ModelStatus {
	now := time.Now()
	counts := make(map[string]*httpapi.ModelStatus)
	contents := r.view.Contents()
	for name, m := range contents.Models {
		counts[name] = &httpapi.ModelStatus{Name: name, Version: m.Version}
	}
	for key, a := range contents.Adapters {
		counts[key] = &httpapi.ModelStatus{Name: key, Version: a.Version}
	}
	for _, e := range entries {
		if !e.Usable(now) {
			continue
		}
		for _, resident := range e.Announcement.Residents {
			status, ok := counts[residentName(resident)]
			switch {
			case !ok || resident.Version != status.Version:
			case resident.State == targetapi.Ready:
				status.Ready++
			case resident.State == targetapi.Loading:
				status.Loading++
			}
		}
	}
	list := make([]httpapi.ModelStatus, 0, len(counts))
	for _, status := range counts {
		list = append(list, *status)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func residentName(r targetapi.Resident) string {
	if r.Adapter == "" {
		return r.Model
	}
	return r.Model + ":" + r.Adapter
}

func (r *statusReader) targetStatus(entries []*membership.Entry) []httpapi.TargetStatus {
	now := time.Now()
	list := make([]httpapi.TargetStatus, 0, len(entries))
	for _, e := range entries {
		a := &e.Announcement
		status := httpapi.TargetStatus{
			Name: a.Target, Incarnation: a.Incarnation, Kind: string(a.Kind), State: "serving",
			CapacityBytes: a.CapacityBytes, InFlight: r.policy.InFlight(a.Target, a.Incarnation),
		}
		switch {
		case a.Leaving:
			status.State = "leaving"
		case !e.Usable(now):
			status.State = "expired"
		}
		for _, resident := range a.Residents {
			status.UsedBytes += resident.Bytes
			status.Residents = append(status.Residents, residentName(resident)+"="+string(resident.State))
		}
		list = append(list, status)
	}
	return list
}
