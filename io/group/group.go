// Package group starts all goroutines of the project, so that each has an owner that
// waits for it. CI rejects bare go statements.
package group

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Group is a set of goroutines with one context, which is canceled when the first
// of them fails or Stop is called.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	eg     *errgroup.Group
}

// New returns a group whose context is derived from ctx.
func New(ctx context.Context) *Group {
	sub, cancel := context.WithCancel(ctx)
	eg, gctx := errgroup.WithContext(sub)
	return &Group{ctx: gctx, cancel: cancel, eg: eg}
}

// Context returns the group's context.
func (grp *Group) Context() context.Context { return grp.ctx }

// Go starts a goroutine. A panic in it becomes the group's error, so that a request
// that panics fails alone instead of ending the process.
func (grp *Group) Go(run func(ctx context.Context) error) {
	grp.eg.Go(func() error { return grp.runRecovered(run) })
}

// Do runs a part of the group's work in the calling goroutine, which would
// otherwise only wait. An error or panic counts as that of a goroutine. Do reports
// whether there was none.
func (grp *Group) Do(run func(ctx context.Context) error) bool {
	err := grp.runRecovered(run)
	if err != nil {
		grp.eg.Go(func() error { return err })
	}
	return err == nil
}

// runRecovered calls run and returns a panic as an error.
func (grp *Group) runRecovered(run func(ctx context.Context) error) (err error) {
	defer func() {
		if got := recover(); got != nil {
			err = errors.Errorf("panic: %v", got)
		}
	}()
	return run(grp.ctx)
}

// Stop cancels the group's context.
func (grp *Group) Stop() { grp.cancel() }

// Wait waits for all goroutines, cancels the context and returns the first error.
func (grp *Group) Wait() error {
	defer grp.cancel()
	return grp.eg.Wait()
}
