package intake

import "time"

// Bounds of the choice of a victim.
const (
	// window is the time over which progress is measured.
	window = time.Second
	// steadyBytes is what a client sends within the window if it is steady: an eighth of what a link of 2 Mbit/s carries.
	steadyBytes = 32 << 10
	// progressFloor is added to the progress, so that clients without any differ by what they hold and for how long.
	progressFloor = 4 << 10
)

// State of a client.
type State int32

// States of a client.
const (
	// Idle clients have sent nothing since they connected or since their last response.
	Idle State = iota
	// Receiving clients have sent a part of a request.
	Receiving
	// Running clients have sent their request, which may run.
	Running
	// Unread clients do not take a response that is being written.
	Unread
)

// Claim is what one client holds.
type Claim struct {
	State State
	// Held are the bytes that are counted for the client.
	Held int64
	// Since is when the client entered its state.
	Since time.Time
	// Resumed is when it last got room for which it had waited; while it waited, it could not make progress.
	Resumed time.Time
	// Recent are the bytes that it sent within the last window.
	Recent int64
	// Waiting is set while the client waits for room, when it cannot make progress.
	Waiting bool
	// Senior is set for the one client that may use more room than others that hold much, see Senior.
	Senior bool
	// Exempt is set for clients that are not closed for others.
	Exempt bool
}

// stalled reports whether a client that is in the middle of a request or a response makes no progress.
func (c *Claim) stalled(now time.Time) bool {
	switch c.State {
	case Receiving:
		return !c.Waiting && c.Recent < steadyBytes && now.Sub(c.Since) >= window && now.Sub(c.Resumed) >= window
	case Unread:
		return now.Sub(c.Since) >= window
	}
	return false
}

// weight is larger for clients that hold more, for longer and with less progress. Progress above that of a steady client does not
// count, since a crowd on a fast link would outdo slow clients that are steady.
func (c *Claim) weight(now time.Time) float64 {
	age := max(now.Sub(c.Since), window/100).Seconds()
	progress := min(c.Recent, steadyBytes) + progressFloor
	if c.Waiting {
		progress = steadyBytes + progressFloor
	}
	return float64(c.Held) * age / float64(progress)
}

// Resource is what is scarce.
type Resource int

// Resources of a process.
const (
	Memory Resource = iota
	Descriptors
)

// Victim returns the index of the client to close, -1 if there is none. Idle clients come first where descriptors are scarce; where
// memory is, they count as stalled, since they hold little. With force, clients that wait are closed after stalled ones, and those
// that make progress last. Running requests never are.
func Victim(now time.Time, claims []Claim, scarce Resource, force bool) int {
	best, bestClass, bestWeight := -1, 0, 0.0
	for i := range claims {
		c := &claims[i]
		class := 0
		switch {
		case c.Exempt:
		case c.State == Idle && scarce == Descriptors:
			class = 4
		case c.State == Idle, c.stalled(now):
			class = 3
		case force && c.Waiting && !c.Senior:
			class = 2
		case force && c.State == Receiving && !c.Senior:
			class = 1
		}
		if class == 0 || class < bestClass {
			continue
		}
		if w := c.weight(now); class > bestClass || w > bestWeight {
			best, bestClass, bestWeight = i, class, w
		}
	}
	return best
}

// Senior returns the index of the client that gets room first when all wait for each other: the one whose request began first, -1 if
// none waits. It then ends its request or stalls, so that others get its room and no steady client has to be closed.
func Senior(claims []Claim) int {
	senior := -1
	for i := range claims {
		if claims[i].Waiting && (senior < 0 || claims[i].Since.Before(claims[senior].Since)) {
			senior = i
		}
	}
	return senior
}
