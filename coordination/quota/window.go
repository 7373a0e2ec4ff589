package quota

import "time"

// bucketWidth is the resolution of a window. Use is counted for up to that much longer than one window.
const bucketWidth = 250 * time.Millisecond

// Window counts units by the time of their use and forgets them after its length. It is not safe for concurrent use.
type Window struct {
	buckets []float64 // the use at a time is in the bucket of its number modulo their count
	newest  int64     // number of the newest bucket since the Unix epoch
	sum     float64
}

// NewWindow returns an empty window.
func NewWindow(length time.Duration) *Window {
	// The oldest bucket is complete only after the length and one width.
	return &Window{buckets: make([]float64, int((length+bucketWidth-1)/bucketWidth)+1)}
}

func number(at time.Time) int64 { return at.UnixNano() / int64(bucketWidth) }

func (w *Window) at(number int64) *float64 { return &w.buckets[number%int64(len(w.buckets))] }

func (w *Window) oldest() int64 { return w.newest - int64(len(w.buckets)) + 1 }

func (w *Window) advance(now time.Time) {
	n := number(now)
	if n <= w.newest {
		return
	}
	if n-w.newest >= int64(len(w.buckets)) {
		clear(w.buckets)
		w.newest, w.sum = n, 0
		return
	}
	for w.newest < n {
		w.newest++
		b := w.at(w.newest)
		w.sum -= *b
		*b = 0
	}
}

// Add counts units that are used now.
func (w *Window) Add(now time.Time, units float64) { w.AddAt(now, now, units) }

// AddAt counts units that were used at an earlier time.
func (w *Window) AddAt(now, at time.Time, units float64) {
	w.advance(now)
	n := min(number(at), w.newest)
	if n < w.oldest() {
		return
	}
	*w.at(n) += units
	w.sum += units
}

// removalBuckets bounds how much later than at its time a use may be counted that is taken away: by the delay of a report.
const removalBuckets = 4

// RemoveAt takes units away that were counted for an earlier time and not used after all.
func (w *Window) RemoveAt(now, at time.Time, units float64) {
	w.advance(now)
	first := number(at)
	for n := max(first, w.oldest()); n <= min(first+removalBuckets, w.newest) && units > 0; n++ {
		b := w.at(n)
		part := min(*b, units)
		*b -= part
		w.sum -= part
		units -= part
	}
}

// Sum returns the use of the last window.
func (w *Window) Sum(now time.Time) float64 {
	w.advance(now)
	return w.sum
}

// SumBefore returns the use of the last window up to an earlier time.
func (w *Window) SumBefore(now, at time.Time) float64 {
	w.advance(now)
	sum := 0.0
	for n := w.oldest(); n <= min(number(at), w.newest); n++ {
		sum += *w.at(n)
	}
	return sum
}

// ByAge returns the use of the last window by age in seconds. Each value counts use of that age or younger than it by less than a
// second.
func (w *Window) ByAge(now time.Time) []float64 {
	w.advance(now)
	const perSecond = int64(time.Second / bucketWidth)
	ages := make([]float64, (int64(len(w.buckets))+perSecond-1)/perSecond)
	last := 0
	for n := w.newest; n >= w.oldest(); n-- {
		age := (w.newest - n) / perSecond
		if ages[age] += *w.at(n); ages[age] > 0 {
			last = int(age) + 1
		}
	}
	return ages[:last]
}

// FreeAfter returns the time after which units of the use of the last window are forgotten.
func (w *Window) FreeAfter(now time.Time, units float64) time.Duration {
	w.advance(now)
	for n := w.oldest(); n <= w.newest; n++ {
		if units -= *w.at(n); units <= 0 {
			end := time.Unix(0, (n+int64(len(w.buckets)))*int64(bucketWidth))
			return end.Sub(now)
		}
	}
	return time.Duration(len(w.buckets)) * bucketWidth
}

// stated is a level that a ledger stated, by age in seconds at a time.
type stated struct {
	byAge []float64
	at    time.Time
}

// remaining returns how much of it is younger than a window. All use of a second counts as if it were used at its end.
func (s *stated) remaining(now time.Time, window time.Duration) float64 {
	sum := 0.0
	for age, units := range s.byAge {
		if now.Sub(s.at)+time.Duration(age)*time.Second < window+bucketWidth {
			sum += units
		}
	}
	return sum
}
