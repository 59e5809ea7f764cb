// Package loop implements the control thread: the single goroutine that owns the
// control state, receives events from all other goroutines and passes the resulting
// decisions to a handler.
package loop

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core"
	"lovagestream/io/clock"
)

// queueLength is the capacity of the event queue. Post blocks when it is full, so
// that a flood of events slows down its sender and memory stays bounded.
const queueLength = 4096

// Handler executes decisions. It runs on the control thread and must not block; it
// runs slow work on goroutines of its own.
type Handler interface {
	Handle(dec core.Decision)
}

// Loop is the event loop that owns the control state.
type Loop struct {
	stp    core.Stepper
	clk    clock.Service
	events chan core.Event
	view   atomic.Pointer[core.View]
	han    Handler
}

// New returns a loop; Run starts it.
func New(stp core.Stepper, clk clock.Service, han Handler) *Loop {
	lop := &Loop{stp: stp, clk: clk, han: han, events: make(chan core.Event, queueLength)}
	lop.view.Store(stp.View())
	return lop
}

// View returns the newest snapshot of the control state.
func (lop *Loop) View() *core.View { return lop.view.Load() }

// Post queues an event. It blocks while the queue is full and returns an error only
// if the context ends first.
func (lop *Loop) Post(ctx context.Context, ev core.Event) error {
	select {
	case lop.events <- ev:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "post event")
	}
}

// Run processes events until the context ends, with a Tick event every tick. It
// always returns nil.
func (lop *Loop) Run(ctx context.Context, tick time.Duration) error {
	tic := time.NewTicker(tick)
	defer tic.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-lop.events:
			lop.step(ev)
		case <-tic.C:
			lop.step(core.NewTick())
		}
	}
}

func (lop *Loop) step(ev core.Event) {
	decs := lop.stp.Step(lop.clk.Now(), ev)
	lop.view.Store(lop.stp.View())
	for _, dec := range decs {
		lop.han.Handle(dec)
	}
}
