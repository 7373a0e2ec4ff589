package routes

import (
	"fmt"
	"strings"
)

// Finding is one validation error of a document and the element that has it.
type Finding struct {
	Location string
	Message  string
}

// Findings are the validation errors of a document.
type Findings []Finding

// Error joins the findings into one line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Location + ": " + finding.Message
	}
	return strings.Join(lines, "; ")
}

// Check validates a document and returns every error. A document without findings may be activated.
func (d *Document) Check() Findings {
	var findings Findings
	add := func(place, format string, args ...any) {
		findings = append(findings, Finding{Location: place, Message: fmt.Sprintf(format, args...)})
	}
	services := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		name := d.Services[i].Name
		place := fmt.Sprintf("service %d", i)
		switch {
		case name == "":
			add(place, "the name is missing")
		case services[name]:
			add(place, "the name %q is used twice", name)
		}
		services[name] = true
	}
	type hostPrefix struct{ host, prefix string }
	routeNames := make(map[hostPrefix]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		label := fmt.Sprintf("route %d (%s)", i, r.Name)
		r.check(services, func(format string, args ...any) { add(label, format, args...) })
		key := hostPrefix{canonicalHost(r.Host), r.PathPrefix}
		if other, ok := routeNames[key]; ok {
			add(label, "host %q and prefix %q are already used by route %q", r.Host, r.PathPrefix, other)
		}
		routeNames[key] = r.Name
	}
	d.checkAccounts(add)
	return findings
}

// checkAccounts reports accounts that share a name or a key. Findings name accounts only: keys must not reach logs and answers.
func (d *Document) checkAccounts(add func(place, format string, args ...any)) {
	names := make(map[string]bool, len(d.Accounts))
	holders := make(map[KeyDigest]string)
	for i := range d.Accounts {
		a := &d.Accounts[i]
		place := fmt.Sprintf("account %d (%s)", i, a.Name)
		switch {
		case a.Name == "":
			add(place, "the name is missing")
		case names[a.Name]:
			add(place, "the name is used twice")
		}
		names[a.Name] = true
		for n, digest := range a.Keys {
			if holder, ok := holders[digest]; ok && holder != a.Name {
				add(place, "key %d is also held by account %q", n, holder)
			}
			holders[digest] = a.Name
		}
	}
}

func (r *Route) check(services map[string]bool, add func(format string, args ...any)) {
	if r.Host == "" {
		add("the host is missing")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		add("the prefix %q does not begin and end with a slash", r.PathPrefix)
	}
	switch r.Kind {
	case Idempotent, NonIdempotent, Stream:
	default:
		add("the kind %q is unknown", r.Kind)
	}
	if r.Timeout <= 0 {
		add("the timeout %v is not positive", r.Timeout)
	}
	if len(r.Split) == 0 {
		add("the route has no service")
	}
	sum := 0.0
	for _, w := range r.Split {
		if !services[w.Service] {
			add("the service %q does not exist", w.Service)
		}
		if w.Weight < 0 {
			add("the weight of service %q is negative", w.Service)
		}
		sum += w.Weight
	}
	if len(r.Split) > 0 && sum <= 0 {
		add("the weights add up to 0")
	}
}

func canonicalHost(host string) string { return strings.ToLower(host) }
