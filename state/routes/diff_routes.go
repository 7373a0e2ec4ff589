package routes

import (
	"fmt"
	"strings"
)

// routes matches routes by host and prefix, which determine the requests of a route; names need not be unique.
func (d *differ) routes(inForce, next []Route) {
	type hostPrefix struct{ host, prefix string }
	key := func(r *Route) hostPrefix { return hostPrefix{canonicalHost(r.Host), r.PathPrefix} }
	for _, p := range pairs(inForce, next, key) {
		switch {
		case p.next == nil:
			d.add(routePlace(p.inForce), "removed")
		case p.inForce == nil:
			d.add(routePlace(p.next), "added, %s, services %s", p.next.Kind, splitText(p.next.Split))
		default:
			d.route(p.inForce, p.next)
		}
	}
}

func routePlace(r *Route) string {
	return fmt.Sprintf("route %s (%s%s)", r.Name, canonicalHost(r.Host), r.PathPrefix)
}

func (d *differ) route(inForce, next *Route) {
	place := routePlace(next)
	field(d, place, "name", inForce.Name, next.Name)
	field(d, place, "kind", inForce.Kind, next.Kind)
	field(d, place, "services", splitText(inForce.Split), splitText(next.Split))
	field(d, place, "timeout", inForce.Timeout, next.Timeout)
	field(d, place, "objective", inForce.Objective, next.Objective)
	field(d, place, "pause objective", inForce.PauseObjective, next.PauseObjective)
	field(d, place, "rank", inForce.Rank, next.Rank)
	field(d, place, "attempts", inForce.MaxAttempts, next.MaxAttempts)
	field(d, place, "prefix affinity", inForce.PrefixAffinity, next.PrefixAffinity)
	field(d, place, "resumable", inForce.Resumable, next.Resumable)
	field(d, place, "anonymous callers", inForce.AllowAnonymous, next.AllowAnonymous)
}

// splitText returns the services and, if there are several, their weights.
func splitText(split []WeightedService) string {
	if len(split) == 1 && split[0].Weight == 1 {
		return split[0].Service
	}
	parts := make([]string, len(split))
	for i, s := range split {
		parts[i] = fmt.Sprintf("%s:%g", s.Service, s.Weight)
	}
	return strings.Join(parts, ",")
}
