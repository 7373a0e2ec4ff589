package pace

import (
	"slices"
	"strings"
	"time"
)

// PhaseStatus is a start phase at the leader.
type PhaseStatus struct {
	Target       string
	Window, Full int
	BeganAt      time.Time
	InTime, Bad  int // responses
}

// Status returns the start phases in progress, by target.
func (s *Sums) Status() []PhaseStatus {
	var list []PhaseStatus
	for id, p := range s.phases {
		list = append(list, PhaseStatus{Target: id, Window: p.window.size, Full: p.window.full, BeganAt: p.beganAt, InTime: p.inTime, Bad: p.bad})
	}
	slices.SortFunc(list, func(a, b PhaseStatus) int { return strings.Compare(a.Target, b.Target) })
	return list
}
