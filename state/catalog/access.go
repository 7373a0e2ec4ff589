package catalog

import (
	"slices"

	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
)

// Permission is what a caller may do with a model or a service.
type Permission struct {
	Version  string
	Priority releasenote.Priority
	Weight   int
}

// PermitModel checks that a caller may use a model and, unless adapter is empty, one of its adapters. The result is nil
// if the caller is permitted.
func (c *ActiveConfig) PermitModel(caller, model, adapter string) (Permission, *api.Result) {
	m, ok := c.Models[model]
	if !ok {
		return Permission{}, api.Refuse(api.ReasonUnknownModel, "model \""+model+"\" is not in force")
	}
	permitted := m.Callers
	if adapter != "" {
		a, ok := c.Adapters[AdapterKey(model, adapter)]
		if !ok {
			return Permission{}, api.Refuse(api.ReasonUnknownAdapter, "adapter \""+adapter+"\" of model \""+model+"\" is not in force")
		}
		if len(a.Callers) > 0 {
			permitted = a.Callers
		}
	}
	if !slices.Contains(permitted, caller) {
		return Permission{}, api.Refuse(api.ReasonCallerNotPermitted, "caller \""+caller+"\" may not use model \""+model+"\"")
	}
	priority := m.Priority
	if p, ok := m.CallerPriorities[caller]; ok {
		priority = p
	}
	return Permission{Version: m.Version, Priority: priority, Weight: c.weight(caller)}, nil
}

// PermitService checks that a caller may use a plain service, and reports whether calls with the method are
// non-idempotent. The result is nil if the caller is permitted.
func (c *ActiveConfig) PermitService(caller, service, method string) (p Permission, nonIdempotent bool, result *api.Result) {
	s, ok := c.Services[service]
	if !ok {
		return Permission{}, false, api.Refuse(api.ReasonUnknownModel, "service \""+service+"\" is not in force")
	}
	if !slices.Contains(s.Callers, caller) {
		return Permission{}, false, api.Refuse(api.ReasonCallerNotPermitted, "caller \""+caller+"\" may not use service \""+service+"\"")
	}
	return Permission{Priority: s.Priority, Weight: c.weight(caller)}, slices.Contains(s.NonIdempotent, method), nil
}

func (c *ActiveConfig) weight(caller string) int {
	if entry, ok := c.Callers[caller]; ok {
		return entry.Weight
	}
	return 1
}
