// Package defaults fills in the options that a caller left out.
package defaults

// number is the type of a limit, a ratio or a duration.
type number interface {
	~int | ~int64 | ~uint64 | ~float64
}

// Positive sets an option that must be positive to its default if it is zero or negative.
func Positive[T number](option *T, value T) {
	if *option <= 0 {
		*option = value
	}
}
