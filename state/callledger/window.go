package callledger

// windowAttempts is the number of latest attempts of an instance that are told apart. Older ones count as used. It is
// far above the number of calls that an instance has in progress at a time.
const windowAttempts = 1 << 16

const wordBits = 64

// window remembers which attempt numbers were used, in constant memory.
type window struct {
	Highest uint64   `cbor:"1,keyasint"`
	Bits    []uint64 `cbor:"2,keyasint"`
}

// use marks a number as used and reports whether it was free.
func (w *window) use(n uint64) bool {
	if w.Bits == nil {
		w.Bits = make([]uint64, windowAttempts/wordBits)
	}
	if n > w.Highest {
		w.advance(n)
	}
	if w.Highest-n >= windowAttempts {
		return false
	}
	word, bit := &w.Bits[n%windowAttempts/wordBits], uint64(1)<<(n%wordBits)
	free := *word&bit == 0
	*word |= bit
	return free
}

// advance makes n the highest number and frees the places of the numbers that come into the window.
func (w *window) advance(n uint64) {
	if n-w.Highest >= windowAttempts {
		clear(w.Bits)
	} else {
		for i := w.Highest + 1; i <= n; i++ {
			w.Bits[i%windowAttempts/wordBits] &^= 1 << (i % wordBits)
		}
	}
	w.Highest = n
}
