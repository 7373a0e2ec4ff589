package pace

// slowRounds is the number of rounds without a slow response after which a window doubles again. A target that was cold gets warm, so
// the pace at which it grew then is too low later.
const slowRounds = 3

// window is a number of concurrent requests that follows the responses to them.
type window struct {
	size, full int
	// slowRounds is the number of rounds in which the window grows by one, since the latest response that took more than half of its
	// objective, or was not in time: with twice as many requests the next ones would be late.
	slowRounds int
	// inTime counts the responses since the last change.
	inTime int
}

func newWindow(full int) window { return window{size: min(initialWindow, full), full: full} }

// add counts responses in time. The window grows with each round of half as many responses as its size: these are the requests
// that the doubling before allowed. Streams go on after their response has begun, so that waiting for as many as its size would
// wait for their ends.
func (w *window) add(inTime int) {
	w.inTime += inTime
	for w.size < w.full {
		round := max((w.size+1)/2, 1)
		if w.inTime < round {
			return
		}
		w.inTime -= round
		if w.slowRounds > 0 {
			w.slowRounds--
			w.size++
		} else {
			w.size = min(2*w.size, w.full)
		}
	}
}

// halve reduces the window after a response that was late, refused or broken.
func (w *window) halve() {
	w.size, w.inTime = max(w.size/2, minWindow), 0
	w.slow()
}

// slow has the window grow by one for some rounds.
func (w *window) slow() { w.slowRounds = slowRounds }

func (w *window) isFull() bool { return w.size >= w.full }
