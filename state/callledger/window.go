package callledger

// windowAttempts is how many of the latest attempt numbers of an instance are tracked. Older numbers count as used. It is
// far above the number of calls that an instance has in progress at the same time.
const windowAttempts = 1 << 16

const wordBits = 64

// attemptWindow is a sliding bitmap of the attempt numbers that were used. Its size is constant.
type attemptWindow struct {
	Highest uint64   `cbor:"1,keyasint"`
	Bitmap  []uint64 `cbor:"2,keyasint"`
}

// use marks a number as used and reports whether it was unused before.
func (w *attemptWindow) use(n uint64) bool {
	if w.Bitmap == nil {
		w.Bitmap = make([]uint64, windowAttempts/wordBits)
	}
	if n > w.Highest {
		w.advance(n)
	}
	if w.Highest-n >= windowAttempts {
		return false
	}
	word, bit := &w.Bitmap[n%windowAttempts/wordBits], uint64(1)<<(n%wordBits)
	free := *word&bit == 0
	*word |= bit
	return free
}

// advance makes n the highest number and clears the bits of the numbers that enter the window.
func (w *attemptWindow) advance(n uint64) {
	if n-w.Highest >= windowAttempts {
		clear(w.Bitmap)
	} else {
		for i := w.Highest + 1; i <= n; i++ {
			w.Bitmap[i%windowAttempts/wordBits] &^= 1 << (i % wordBits)
		}
	}
	w.Highest = n
}
