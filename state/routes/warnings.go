package routes

import (
	"fmt"
	"slices"
	"time"
)

// Warning is an element of a valid document that has no effect, or that contradicts another one.
type Warning struct {
	// Rule is a stable name for scripts, see docs/OPERATIONS.md.
	Rule     string
	Location string
	Message  string
}

// quotaWindow is the default of the window over which quotas are enforced. Settings may differ, which a document does not tell.
const quotaWindow = 8 * time.Second

// warner collects the warnings of one document.
type warner struct {
	document *Document
	warnings []Warning
}

func (w *warner) add(rule, location, format string, args ...any) {
	w.warnings = append(w.warnings, Warning{Rule: rule, Location: location, Message: fmt.Sprintf(format, args...)})
}

// Warnings returns what operators probably did not intend. A document with warnings may be activated. Like findings, warnings hold
// neither keys nor digests of keys.
func (d *Document) Warnings() []Warning {
	w := &warner{document: d}
	for i := range d.Accounts {
		w.checkAccount(i)
	}
	hosts := d.hosts()
	for i := range d.Routes {
		w.checkMatch(&d.Routes[i], d.routeLocation(i), hosts)
		w.checkSplit(&d.Routes[i], d.routeLocation(i))
		w.checkTimes(&d.Routes[i], d.routeLocation(i))
		w.checkAttempts(&d.Routes[i], d.routeLocation(i))
	}
	reached := d.reachedServices()
	for i := range d.Services {
		w.checkReached(i, reached)
		w.checkEngine(i)
	}
	return w.warnings
}

// Unchecked returns the contradictions that a document alone can't show, because they depend on targets or settings.
func (d *Document) Unchecked() []string {
	var unchecked []string
	if slices.ContainsFunc(d.Accounts, func(a Account) bool { return a.Quota.Limited() }) {
		unchecked = append(unchecked, "quotas against the capacity of services: the document holds neither the number of targets nor their speed",
			fmt.Sprintf("quotas against the window of the settings: the default of %v is assumed", quotaWindow))
	}
	for i := range d.Services {
		if text, ok := d.uncheckedAdapters(i); ok {
			unchecked = append(unchecked, text)
		}
	}
	return unchecked
}

func (d *Document) accountLocation(i int) string {
	return fmt.Sprintf("account %d (%s)", i, d.Accounts[i].Name)
}

func (d *Document) routeLocation(i int) string {
	return fmt.Sprintf("route %d (%s)", i, d.Routes[i].Name)
}

func (d *Document) serviceLocation(i int) string {
	return fmt.Sprintf("service %d (%s)", i, d.Services[i].Name)
}
