package orders

// Open counts the orders that no report has settled.
func (o *Issuer) Open() int {
	n := 0
	for _, t := range o.targets {
		n += len(t.written)
	}
	return n
}
