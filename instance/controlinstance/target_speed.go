package controlinstance

// targetSpeed returns the speed of a target of a service relative to the nominal one.
func (d *Director) targetSpeed(_, _ string) float64 { return 1 }
