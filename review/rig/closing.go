package main

import "sync"

var (
	closingMu   sync.Mutex
	deployments []*deployment
)

// register has a deployment closed at the end of the case, however it ends.
func register(d *deployment) {
	closingMu.Lock()
	defer closingMu.Unlock()
	deployments = append(deployments, d)
}

func closeAll() {
	closingMu.Lock()
	defer closingMu.Unlock()
	for _, d := range deployments {
		d.close()
	}
}
