package controller

import (
	"context"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/loadlimit"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// errNotController is the answer of an instance that does not hold the lease of its data centre.
var errNotController = errors.New("this instance is not the controller of its data centre")

// borrow asks the controller of another data centre for load slots.
func (d *Director) borrow(ctx context.Context, r loadlimit.BorrowRequest) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for _, peer := range d.options.Local(r.To) {
		var response loadlimit.BorrowResponse
		if err := d.lease.peers.Call(ctx, peer, peerapi.MethodLoadLimitBorrow, r, &response); err != nil {
			continue
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.limiter != nil {
			d.limiter.Borrowed(d.now(), response)
		}
		return
	}
}

// giveBack returns borrowed slots. A lost return is made up for by the end of the loan.
func (d *Director) giveBack(ctx context.Context, r loadlimit.Return) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for _, peer := range d.options.Local(r.To) {
		if err := d.lease.peers.Call(ctx, peer, peerapi.MethodLoadLimitReturn, r, nil); err == nil {
			return
		}
	}
}

// Lend answers the controller of another data centre.
func (d *Director) Lend(r loadlimit.BorrowRequest) (loadlimit.BorrowResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, held := d.lease.Held(); !held || d.limiter == nil {
		return loadlimit.BorrowResponse{}, errNotController
	}
	return d.limiter.Lend(d.now(), r), nil
}

// TakeBack takes returned slots.
func (d *Director) TakeBack(r loadlimit.Return) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, held := d.lease.Held(); !held || d.limiter == nil {
		return errNotController
	}
	d.limiter.TakeBack(d.now(), r)
	return nil
}
