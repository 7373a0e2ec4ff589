package routes

import (
	"fmt"
	"slices"
)

// Section is a part of a document, in which changes are grouped.
type Section string

// Sections, in the order in which Diff returns their changes.
const (
	SectionVersion  Section = "version"
	SectionAccounts Section = "accounts"
	SectionRoutes   Section = "routes"
	SectionServices Section = "services"
	SectionLimits   Section = "limits"
)

// Change is one difference between two documents. It holds neither keys nor digests of keys.
type Change struct {
	Section  Section
	Location string
	Message  string
}

// Diff returns what changes when a document replaces the one in force.
func Diff(inForce, next *Document) []Change {
	d := &differ{}
	d.section = SectionVersion
	d.version(inForce.Version, next.Version)
	d.section = SectionAccounts
	d.accounts(inForce.Accounts, next.Accounts)
	d.section = SectionRoutes
	d.routes(inForce.Routes, next.Routes)
	d.section = SectionServices
	d.services(inForce.Services, next.Services)
	d.section = SectionLimits
	d.limits(&inForce.Limits, &next.Limits)
	return d.changes
}

// differ collects the changes of two documents.
type differ struct {
	section Section
	changes []Change
}

func (d *differ) add(location, format string, args ...any) {
	d.changes = append(d.changes, Change{Section: d.section, Location: location, Message: fmt.Sprintf(format, args...)})
}

// field reports a field whose values differ.
func field[T comparable](d *differ, location, name string, inForce, next T) {
	if inForce != next {
		d.add(location, "%s %v -> %v", name, inForce, next)
	}
}

func (d *differ) version(inForce, next uint64) {
	switch {
	case next > inForce:
		d.add("version", "%d -> %d", inForce, next)
	case next < inForce:
		d.add("version", "goes back from %d to %d; the server keeps %d", inForce, next, inForce)
	default:
		d.add("version", "stays %d; the server keeps the document in force", inForce)
	}
}

func (d *differ) limits(inForce, next *Limits) {
	field(d, "limits", "bytes of headers", inForce.HeaderBytes, next.HeaderBytes)
	field(d, "limits", "bytes of a body", inForce.BodyBytes, next.BodyBytes)
	field(d, "limits", "time for the headers", inForce.HeaderTime, next.HeaderTime)
	field(d, "limits", "idle time", inForce.IdleTime, next.IdleTime)
}

// pair is an element of a list and its counterpart in the other list; one of them may be nil.
type pair[T any] struct{ inForce, next *T }

// pairs matches the elements of two lists by their keys: those that are removed come first, then the others in their new order. Elements
// with the same key are matched in their order, since documents may have errors.
func pairs[T any, K comparable](inForce, next []T, key func(*T) K) []pair[T] {
	earlier := make(map[K][]*T)
	for i := range inForce {
		k := key(&inForce[i])
		earlier[k] = append(earlier[k], &inForce[i])
	}
	var matched []pair[T]
	taken := make(map[*T]bool, len(inForce))
	for i := range next {
		p := pair[T]{next: &next[i]}
		if k := key(p.next); len(earlier[k]) > 0 {
			p.inForce, earlier[k] = earlier[k][0], earlier[k][1:]
			taken[p.inForce] = true
		}
		matched = append(matched, p)
	}
	var removed []pair[T]
	for i := range inForce {
		if !taken[&inForce[i]] {
			removed = append(removed, pair[T]{inForce: &inForce[i]})
		}
	}
	return slices.Concat(removed, matched)
}
