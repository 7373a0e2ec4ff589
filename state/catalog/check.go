package catalog

import (
	"fmt"

	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
)

// Check applies a note to a copy of the active configuration. It returns the copy and every conflict of the note with
// the active configuration.
func Check(active *ActiveConfig, note *releasenote.Note) (*ActiveConfig, []tomlfile.Finding) {
	c := &checker{next: active.clone()}
	applyItems(c, "model", note.Models, c.next.Models, func(m *releasenote.Model) (string, releasenote.Action) {
		return m.Name, m.Action
	})
	applyItems(c, "adapter", note.Adapters, c.next.Adapters, func(a *releasenote.Adapter) (string, releasenote.Action) {
		return AdapterKey(a.Model, a.Name), a.Action
	})
	applyItems(c, "service", note.Services, c.next.Services, func(s *releasenote.Service) (string, releasenote.Action) {
		return s.Name, s.Action
	})
	applyItems(c, "caller", note.Callers, c.next.Callers, func(caller *releasenote.Caller) (string, releasenote.Action) {
		return caller.Name, caller.Action
	})
	c.checkReferences(note)
	return c.next, c.findings
}

type checker struct {
	next     *ActiveConfig
	findings []tomlfile.Finding
}

func (c *checker) report(key, format string, args ...any) {
	c.findings = append(c.findings, tomlfile.Finding{Key: key, Message: fmt.Sprintf(format, args...)})
}

// checkAction reports whether an action is possible on an item, given whether the item is active.
func (c *checker) checkAction(key, kind, name string, action releasenote.Action, present bool) bool {
	switch {
	case action == releasenote.Add && present:
		c.report(key, "%s %q is in force already; use the action \"change\"", kind, name)
		return false
	case action != releasenote.Add && !present:
		c.report(key, "%s %q is not in force", kind, name)
		return false
	}
	return true
}

// checkReferences reports adapters whose model is not active after the note.
func (c *checker) checkReferences(note *releasenote.Note) {
	for i, a := range note.Adapters {
		if a.Action != releasenote.Withdraw && !has(c.next.Models, a.Model) {
			c.report(fmt.Sprintf("adapter[%d].model", i), "model %q of adapter %q is not in force", a.Model, a.Name)
		}
	}
	for i, m := range note.Models {
		if m.Action != releasenote.Withdraw {
			continue
		}
		for _, a := range c.next.AdaptersOf(m.Name) {
			c.report(fmt.Sprintf("model[%d].name", i), "adapter %q of model %q is still in force; withdraw it in the same note", a.Name, m.Name)
		}
	}
}

func has[V any](items map[string]V, name string) bool {
	_, ok := items[name]
	return ok
}

// applyItems applies the entries of one kind to the active items, in the order of the note, and reports entries that
// conflict. identify returns the key of an entry in items and its action.
func applyItems[V any](c *checker, kind string, entries []V, items map[string]V, identify func(*V) (string, releasenote.Action)) {
	for i := range entries {
		name, action := identify(&entries[i])
		if !c.checkAction(fmt.Sprintf("%s[%d].name", kind, i), kind, name, action, has(items, name)) {
			continue
		}
		if action == releasenote.Withdraw {
			delete(items, name)
		} else {
			items[name] = entries[i]
		}
	}
}
