package controlinstance

// targetSpeed returns the speed of a target relative to the median target of its service, 1 if it is unknown or if the speeds of the
// service have no effect. The caller holds Director.mu.
func (d *Director) targetSpeed(service, id string) float64 { return 1 }
