package catalog

// NewWithLimit makes a machine that keeps few verdicts.
func NewWithLimit(limit int) *Machine { return newMachine(limit) }
