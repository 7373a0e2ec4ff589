package catalog

import (
	"fmt"

	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
)

// Check applies a note to a copy of the contents and lists every conflict with what is in force.
func Check(in *Contents, note *releasenote.Note) (*Contents, []tomlfile.Finding) {
	c := &check{next: in.clone()}
	for i, m := range note.Models {
		key := fmt.Sprintf("model[%d].name", i)
		if c.action(key, "model", m.Name, m.Action, has(c.next.Models, m.Name)) {
			applyItem(c.next.Models, m.Name, m.Action, m)
		}
	}
	for i, a := range note.Adapters {
		key := fmt.Sprintf("adapter[%d].name", i)
		id := AdapterKey(a.Model, a.Name)
		if c.action(key, "adapter", id, a.Action, has(c.next.Adapters, id)) {
			applyItem(c.next.Adapters, id, a.Action, a)
		}
	}
	for i, s := range note.Services {
		key := fmt.Sprintf("service[%d].name", i)
		if c.action(key, "service", s.Name, s.Action, has(c.next.Services, s.Name)) {
			applyItem(c.next.Services, s.Name, s.Action, s)
		}
	}
	for i, caller := range note.Callers {
		key := fmt.Sprintf("caller[%d].name", i)
		if c.action(key, "caller", caller.Name, caller.Action, has(c.next.Callers, caller.Name)) {
			applyItem(c.next.Callers, caller.Name, caller.Action, caller)
		}
	}
	c.references(note)
	return c.next, c.findings
}

type check struct {
	next     *Contents
	findings []tomlfile.Finding
}

func (c *check) report(key, format string, args ...any) {
	c.findings = append(c.findings, tomlfile.Finding{Key: key, Message: fmt.Sprintf(format, args...)})
}

// action says whether the action fits what is in force.
func (c *check) action(key, kind, name string, action releasenote.Action, present bool) bool {
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

// references checks that no adapter is left without its model.
func (c *check) references(note *releasenote.Note) {
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

func applyItem[V any](items map[string]V, name string, action releasenote.Action, value V) {
	if action == releasenote.Withdraw {
		delete(items, name)
		return
	}
	items[name] = value
}
