package accept

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/clock"
)

// Intake decides how many connections are accepted.
type Intake interface {
	// Wait returns for how long new connections should be refused, or 0.
	Wait(now time.Time) time.Duration
	// Accepted notes an accepted connection.
	Accepted(now time.Time)
}

const (
	// maxRefusal bounds the time until the intake is asked again.
	maxRefusal = 50 * time.Millisecond
	// relistenInterval is the time between two attempts to listen again.
	relistenInterval = 20 * time.Millisecond
)

// Gate is a listener that refuses connections while its intake says so. It stops
// listening meanwhile: the kernel refuses new connections and resets those that were not
// accepted yet, which costs no processor time here and, unlike a close after accepting,
// keeps callers from sending their requests.
type Gate struct {
	clk clock.Service
	itk Intake
	// address is that of the first listener, with the port that it got.
	address net.Addr
	// onError is called with the error of a failed attempt to listen again.
	onError func(err error)
	ctx     context.Context
	cancel  context.CancelFunc

	mu sync.Mutex
	// lis is nil while connections are refused.
	lis net.Listener
}

// Listen returns a gate that listens on a TCP address. onError may be nil.
func Listen(address string, clk clock.Service, itk Intake, onError func(err error)) (*Gate, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	gat := &Gate{clk: clk, itk: itk, address: lis.Addr(), onError: onError, lis: lis}
	gat.ctx, gat.cancel = context.WithCancel(context.Background())
	return gat, nil
}

// Addr returns the address of the listener.
func (gat *Gate) Addr() net.Addr { return gat.address }

// Accept waits for the next connection. It returns net.ErrClosed after Close.
func (gat *Gate) Accept() (net.Conn, error) {
	for {
		if wait := gat.itk.Wait(gat.clk.Now()); wait > 0 {
			gat.Refuse()
			if gat.clk.Sleep(gat.ctx, min(wait, maxRefusal)) != nil {
				return nil, net.ErrClosed
			}
			continue
		}
		lis, err := gat.listen()
		if err != nil {
			if gat.onError != nil {
				gat.onError(err)
			}
			_ = gat.clk.Sleep(gat.ctx, relistenInterval)
			continue
		}
		if lis == nil {
			return nil, net.ErrClosed
		}
		raw, err := lis.Accept()
		switch {
		case err == nil:
			gat.itk.Accepted(gat.clk.Now())
			return raw, nil
		case !errors.Is(err, net.ErrClosed):
			return nil, err
		}
	}
}

// listen returns the listener, which it opens if there is none; nil after Close.
func (gat *Gate) listen() (net.Listener, error) {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	if gat.ctx.Err() != nil || gat.lis != nil {
		return gat.lis, nil
	}
	lis, err := net.Listen("tcp", gat.address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen again")
	}
	gat.lis = lis
	return lis, nil
}

// Refuse refuses connections until Accept finds that the intake allows the next one.
func (gat *Gate) Refuse() {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	if gat.lis != nil {
		_ = gat.lis.Close()
		gat.lis = nil
	}
}

// Close stops accepting connections.
func (gat *Gate) Close() error {
	gat.cancel()
	gat.Refuse()
	return nil
}
