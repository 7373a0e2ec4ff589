package routes

import "fmt"

func (d *differ) services(inForce, next []Service) {
	for _, p := range pairs(inForce, next, func(s *Service) string { return s.Name }) {
		switch {
		case p.next == nil:
			d.add(servicePlace(p.inForce), "removed")
		case p.inForce == nil:
			d.add(servicePlace(p.next), "added, %s", p.next.text())
		default:
			d.service(p.inForce, p.next)
		}
	}
}

func servicePlace(s *Service) string { return "service " + s.Name }

func (s *Service) text() string {
	if s.Engine == nil {
		return "a plain service"
	}
	return fmt.Sprintf("an engine with %s", count(len(s.Engine.Models), "model"))
}

func (d *differ) service(inForce, next *Service) {
	place := servicePlace(next)
	field(d, place, "health path", inForce.HealthPath, next.HealthPath)
	field(d, place, "connections to a target", inForce.MaxConnections, next.MaxConnections)
	if inForce.Engine == nil || next.Engine == nil {
		field(d, place, "is", inForce.text(), next.text())
		return
	}
	d.engine(place, inForce.Engine, next.Engine)
}

func (d *differ) engine(place string, inForce, next *Engine) {
	field(d, place, "slots", inForce.Slots, next.Slots)
	field(d, place, "tokens of memory", inForce.KVTokens, next.KVTokens)
	field(d, place, "MB of memory", inForce.CapacityMB, next.CapacityMB)
	field(d, place, "adapter slots", inForce.AdapterSlots, next.AdapterSlots)
	field(d, place, "loads per second", inForce.LoadsPerSecond, next.LoadsPerSecond)
	for _, p := range pairs(inForce.Models, next.Models, func(m *Model) string { return m.Name }) {
		switch {
		case p.next == nil:
			d.add(modelPlace(place, p.inForce), "removed")
		case p.inForce == nil:
			d.add(modelPlace(place, p.next), "added, %g MB", p.next.WeightsMB)
		default:
			d.model(modelPlace(place, p.next), p.inForce, p.next)
		}
	}
}

func modelPlace(service string, m *Model) string { return service + ", model " + m.Name }

func (d *differ) model(place string, inForce, next *Model) {
	field(d, place, "MB of weights", inForce.WeightsMB, next.WeightsMB)
	field(d, place, "load time from the store", inForce.LoadTime, next.LoadTime)
	field(d, place, "load time from disk", inForce.DiskLoadTime, next.DiskLoadTime)
	field(d, place, "load time from memory", inForce.MemoryLoadTime, next.MemoryLoadTime)
	field(d, place, "adapters", inForce.Adapters, next.Adapters)
	field(d, place, "MB of an adapter", inForce.AdapterMB, next.AdapterMB)
}
