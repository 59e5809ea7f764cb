package conns

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// observeInterval is the least time between two connections to a server that takes none, or
	// closes them at once.
	observeInterval = time.Second
	// closedAtOnce is how soon a server, or a proxy in front of one that has ended, closes a
	// connection at once. Idle ones are closed later.
	closedAtOnce = 100 * time.Millisecond
)

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
	// ended is called with a start whose server closed the connection and refuses new ones, or
	// closes each at once.
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
	// known is set if the server held a connection open before this one, short if it did so for
	// a short time. closed counts the connections since that it closed at once.
	known, short, closed := false, false, 0
	for ctx.Err() == nil {
		con, err := obr.poo.openConn(ctx, req, shortDialTimeout)
		begun := obr.poo.clk.Now()
		if err == nil {
			con.waitClosed(ctx)
			obr.poo.discard(con)
		}
		lasted := obr.poo.clk.Now().Sub(begun)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			if known {
				obr.ended(obd.Start)
			}
		case known && (errors.Is(err, syscall.ECONNRESET) || err == nil && lasted < closedAtOnce):
			if closed++; closed < endChecks {
				continue
			}
			if !obr.poo.connected(obd.Address) {
				obr.ended(obd.Start)
			}
		case err == nil && lasted >= closedAtOnce && (lasted >= observeInterval || !short):
			known, short, closed = true, lasted < observeInterval, 0
			continue
		}
		known, short, closed = false, false, 0
		_ = obr.poo.clk.Sleep(ctx, observeInterval)
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
