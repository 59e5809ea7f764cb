package conns

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// observeInterval is the least time between two connections to a server that takes none, or
// closes them at once.
const observeInterval = time.Second

// Observed is a start of a server to which a connection is kept open.
type Observed struct {
	Start   string
	Service string
	Address string
}

// Observer keeps a connection without requests open to servers, to notice when they end. It
// must be used by a single goroutine.
type Observer struct {
	poo *Pool
	// ended is called with a start whose server closed the connection and refuses new ones.
	ended func(start string)
	// cancels end the observation of each server.
	cancels map[Observed]context.CancelFunc
}

// NewObserver returns an observer of no servers.
func NewObserver(poo *Pool, ended func(start string)) *Observer {
	return &Observer{poo: poo, ended: ended, cancels: map[Observed]context.CancelFunc{}}
}

// Observe observes these servers from now on, and no others.
func (obr *Observer) Observe(list []Observed) {
	wanted := map[Observed]bool{}
	for _, obd := range list {
		wanted[obd] = true
		if obr.cancels[obd] == nil {
			obr.start(obd)
		}
	}
	for obd, cancel := range obr.cancels {
		if !wanted[obd] {
			cancel()
			delete(obr.cancels, obd)
		}
	}
}

func (obr *Observer) start(obd Observed) {
	ctx, cancel := context.WithCancel(obr.poo.grp.Context())
	obr.cancels[obd] = cancel
	obr.poo.grp.Go(func(context.Context) error {
		defer cancel()
		obr.run(ctx, obd)
		return nil
	})
}

// run observes a server until the context ends.
func (obr *Observer) run(ctx context.Context, obd Observed) {
	req := Request{Service: obd.Service, Address: obd.Address, Uncounted: true}
	// open is set if a connection was open until now, short if it was so for a short time.
	open, short := false, false
	for ctx.Err() == nil {
		begun := obr.poo.clk.Now()
		con, err := obr.poo.openConn(ctx, req, shortDialTimeout)
		if err != nil && open && errors.Is(err, syscall.ECONNREFUSED) {
			obr.ended(obd.Start)
		}
		if err == nil {
			con.waitClosed(ctx)
			obr.poo.discard(con)
		}
		again := obr.poo.clk.Now().Sub(begun) < observeInterval
		if err != nil || again && short {
			open, short = false, false
			_ = obr.poo.clk.Sleep(ctx, observeInterval)
			continue
		}
		open, short = true, again
	}
}

// waitClosed waits until the server closes the connection or sends anything, or the context
// ends.
func (con *conn) waitClosed(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = con.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	var one [1]byte
	_, _ = con.Read(one[:])
}
