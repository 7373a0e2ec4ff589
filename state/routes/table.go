package routes

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Table looks up the route of a request. It is immutable.
type Table struct {
	document *Document
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
	accounts map[KeyDigest]*Account
	// objectives are the longest objectives of the routes to each service.
	objectives map[string]time.Duration
	// maxStreamLife is the longest StreamLife of the routes.
	maxStreamLife time.Duration
}

// NewTable indexes a document that has passed Check.
func NewTable(d *Document) *Table {
	t := &Table{document: d, byHost: make(map[string][]*Route), services: make(map[string]*Service, len(d.Services)),
		accounts: make(map[KeyDigest]*Account), objectives: make(map[string]time.Duration)}
	for i := range d.Accounts {
		for _, digest := range d.Accounts[i].Keys {
			t.accounts[digest] = &d.Accounts[i]
		}
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := canonicalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		for _, w := range r.Split {
			if w.Weight > 0 {
				t.objectives[w.Service] = max(t.objectives[w.Service], r.Objective)
			}
		}
		if r.Kind == Stream {
			t.maxStreamLife = max(t.maxStreamLife, r.StreamLife())
		}
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// MaxStreamLife returns the longest StreamLife of all routes of streams.
func (t *Table) MaxStreamLife() time.Duration { return t.maxStreamLife }

// MaxObjective returns the longest objective of the routes to a service.
func (t *Table) MaxObjective(service string) time.Duration { return t.objectives[service] }

// Version returns the version of the document.
func (t *Table) Version() uint64 { return t.document.Version }

// Document returns the document, which must not be changed.
func (t *Table) Document() *Document { return t.document }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of the host with the longest matching path prefix, or nil. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	list, ok := t.byHost[canonicalHost(host)]
	if !ok {
		if hostname, _, err := net.SplitHostPort(host); err == nil {
			list = t.byHost[canonicalHost(hostname)]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Pick selects a service with a probability proportional to its weight. draw is a uniform random number in [0, 1).
func (r *Route) Pick(draw float64) string {
	sum := 0.0
	for _, w := range r.Split {
		sum += w.Weight
	}
	remaining := draw * sum
	last := ""
	for _, w := range r.Split {
		if w.Weight <= 0 {
			continue
		}
		last = w.Service
		if remaining < w.Weight {
			return w.Service
		}
		remaining -= w.Weight
	}
	return last
}
