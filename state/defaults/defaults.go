// Package defaults replaces unset options by their defaults.
package defaults

// number covers limits, ratios and durations.
type number interface {
	~int | ~int64 | ~uint64 | ~float64
}

// Positive sets an option that must be positive to its default if it is zero or negative.
func Positive[T number](option *T, defaultValue T) {
	if *option <= 0 {
		*option = defaultValue
	}
}
