package routes

import (
	"net"
	"strings"
)

// hosts returns the name of one route of each host.
func (d *Document) hosts() map[string]string {
	hosts := make(map[string]string)
	for i := range d.Routes {
		host := canonicalHost(d.Routes[i].Host)
		if _, ok := hosts[host]; !ok {
			hosts[host] = d.Routes[i].Name
		}
	}
	return hosts
}

// checkMatch warns of routes that Table.Match can't select. A route with a shorter prefix is never hidden as a whole, and two routes
// with the same host and prefix are an error.
func (w *warner) checkMatch(r *Route, location string, hosts map[string]string) {
	if i := strings.IndexFunc(r.Host, notInHost); i >= 0 {
		w.add("route-never-matches", location, "the host %q holds %q, which the host of no request does; hosts are compared as a whole", r.Host, r.Host[i:i+1])
	}
	if i := strings.IndexFunc(r.PathPrefix, notInPath); i >= 0 {
		w.add("route-never-matches", location, "the prefix %q holds %q, which the path of no request does", r.PathPrefix, r.PathPrefix[i:i+1])
	}
	name, port, err := net.SplitHostPort(r.Host)
	if err != nil {
		return
	}
	if other, ok := hosts[canonicalHost(name)]; ok {
		w.add("host-with-port", location, "requests with port %s get routes of host %q only, and never route %q of host %q", port, r.Host, other, name)
	}
}

// notInHost reports whether the host of no request holds a character. Wildcards are not supported.
func notInHost(c rune) bool { return c <= ' ' || c == 0x7f || strings.ContainsRune("/\\?#@*", c) }

// notInPath reports whether the path of no request holds a character: clients encode it, or the path ends before it.
func notInPath(c rune) bool { return c <= ' ' || c == 0x7f || c == '?' || c == '#' }

func (w *warner) checkSplit(r *Route, location string) {
	seen := make(map[string]bool, len(r.Split))
	for _, s := range r.Split {
		if s.Weight == 0 {
			w.add("weight-zero", location, "the service %q has weight 0 and gets no request of the route", s.Service)
		}
		if seen[s.Service] {
			w.add("service-twice", location, "the service %q is listed twice; its weights add up", s.Service)
		}
		seen[s.Service] = true
	}
}

func (w *warner) checkTimes(r *Route, location string) {
	if r.Timeout <= 0 {
		return // an error
	}
	if r.Objective > r.Timeout {
		w.add("timeout-below-objective", location, "the timeout %v is below the objective %v", r.Timeout, r.Objective)
	}
	if r.PauseObjective > r.Timeout {
		w.add("timeout-below-pause", location, "the timeout %v is below the pause objective %v", r.Timeout, r.PauseObjective)
	}
}

func (w *warner) checkAttempts(r *Route, location string) {
	if r.MaxAttempts > 1 && !r.Repeatable() {
		w.add("attempts-without-effect", location, "%d attempts have no effect, because requests of the kind %q are never repeated%s",
			r.MaxAttempts, r.Kind, unlessResumable(r.Kind))
	}
}

func unlessResumable(k Kind) string {
	if k == Stream {
		return " unless the route is resumable"
	}
	return ""
}
