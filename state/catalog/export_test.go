package catalog

// NewWithLimit returns a machine that keeps at most limit verdicts.
func NewWithLimit(limit int) *Machine { return newMachine(limit) }
