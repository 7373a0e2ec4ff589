package controller

import (
	"context"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/loadlimit"
	"github.com/tarragonhoist/tarragonhoist/protocol/peerapi"
)

// errNotController is returned by an instance that does not hold the lease of its data centre.
var errNotController = errors.New("this instance is not the controller of its data centre")

// borrowSlots requests load slots from the controller of another data centre. It tries the instances of that data centre
// in turn until the controller answers.
func (d *Director) borrowSlots(ctx context.Context, r loadlimit.BorrowRequest) {
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
			d.limiter.HandleBorrowResponse(d.now(), response)
		}
		return
	}
}

// returnSlots returns borrowed slots. If the return is lost, the lender gets its slots back when the loan expires.
func (d *Director) returnSlots(ctx context.Context, r loadlimit.Return) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for _, peer := range d.options.Local(r.To) {
		if err := d.lease.peers.Call(ctx, peer, peerapi.MethodLoadLimitReturn, r, nil); err == nil {
			return
		}
	}
}

// Lend handles a borrow request of the controller of another data centre.
func (d *Director) Lend(r loadlimit.BorrowRequest) (loadlimit.BorrowResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, held := d.lease.Held(); !held || d.limiter == nil {
		return loadlimit.BorrowResponse{}, errNotController
	}
	return d.limiter.Lend(d.now(), r), nil
}

// HandleReturn handles slots that a borrower returns.
func (d *Director) HandleReturn(r loadlimit.Return) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, held := d.lease.Held(); !held || d.limiter == nil {
		return errNotController
	}
	d.limiter.HandleReturn(d.now(), r)
	return nil
}
