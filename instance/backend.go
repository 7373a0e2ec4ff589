package instance

import (
	"context"
	"sort"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/tarragonhoist/tarragonhoist/instance/activeconfig"
	"github.com/tarragonhoist/tarragonhoist/instance/callpolicy"
	"github.com/tarragonhoist/tarragonhoist/instance/drain"
	"github.com/tarragonhoist/tarragonhoist/instance/modelcalls"
	"github.com/tarragonhoist/tarragonhoist/instance/releasenotes"
	"github.com/tarragonhoist/tarragonhoist/instance/servicecalls"
	"github.com/tarragonhoist/tarragonhoist/instance/targets"
	"github.com/tarragonhoist/tarragonhoist/instance/timeline"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
)

// backend implements the HTTP API on top of the packages of this instance.
type backend struct {
	models   *modelcalls.Server
	services *servicecalls.Server
	*releasenotes.Service
	gate     *drain.Gate
	view     *activeconfig.View
	targets  *targets.Registry
	policy   *callpolicy.Policy
	timeline *timeline.Reader
	status   *statusReader
	registry metrics.Registry
}

var _ httpapi.Backend = (*backend)(nil)

// Chat answers a model call.
func (b *backend) Chat(ctx context.Context, call httpapi.ChatCall, out httpapi.EventWriter) *api.Result {
	return b.models.Chat(ctx, call, out)
}

// CallService answers a service call.
func (b *backend) CallService(ctx context.Context, call httpapi.ServiceCall) (*httpapi.ServiceAnswer, *api.Result) {
	return b.services.CallService(ctx, call)
}

// Models lists the models and adapters that a caller may use.
func (b *backend) Models(caller string) api.ModelList {
	contents := b.view.Contents()
	list := api.ModelList{Object: "list", Data: []api.ModelInfo{}}
	add := func(id, model, adapter string) {
		if _, refusal := contents.PermitModel(caller, model, adapter); refusal == nil {
			list.Data = append(list.Data, api.ModelInfo{ID: id, Object: "model", OwnedBy: "tarragonhoist"})
		}
	}
	for name := range contents.Models {
		add(name, name, "")
	}
	for key, adapter := range contents.Adapters {
		add(key, adapter.Model, adapter.Name)
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return list
}

// Announce handles the announcement of a target.
func (b *backend) Announce(a targetapi.Announcement) error { return b.targets.Announce(a) }

// CacheEvents handles the prefix cache events of a target.
func (b *backend) CacheEvents(e targetapi.CacheEvents) error { return b.policy.CacheEvents(e) }

// Ready reports whether the load balancer should send new requests.
func (b *backend) Ready() bool { return b.gate.Ready() }

// Metrics returns the current metrics.
func (b *backend) Metrics() any { return b.registry.GetAll() }

// Status returns the status report for operators.
func (b *backend) Status(ctx context.Context) httpapi.Status { return b.status.read(ctx) }

// Timeline returns the events of all instances in one sequence.
func (b *backend) Timeline(ctx context.Context, all bool) httpapi.Timeline {
	return b.timeline.Read(ctx, all)
}
