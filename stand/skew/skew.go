// Package skew is a timer service whose wall clock can be offset while it runs,
// as when a machine's clock is stepped. The monotonic clock is not affected, so
// the time elapsed between two of its times stays correct.
package skew

import (
	"context"
	"os"
	"strings"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/pkg/errors"

	"lovagestream/io/clock"
)

// pollInterval is the interval at which the file with the offset is read.
const pollInterval = 20 * time.Millisecond

// Clock is the system clock with an offset of its wall clock.
type Clock struct {
	clock.System
	offset atomic.Int64
}

var _ clock.Service = (*Clock)(nil)

// SetOffset sets the offset of the wall clock, which may be negative.
func (clk *Clock) SetOffset(offset time.Duration) { clk.offset.Store(int64(offset)) }

// Now returns the time with the offset wall clock and the unchanged monotonic
// reading.
func (clk *Clock) Now() time.Time { return clk.shift(time.Now()) }

// Every calls a function periodically, with the offset time.
func (clk *Clock) Every(ctx context.Context, period time.Duration, fun func(now time.Time)) {
	clk.System.Every(ctx, period, func(now time.Time) { fun(clk.shift(now)) })
}

// timeLayout is the memory layout of time.Time: wall holds the wall clock and a
// flag, mono the monotonic reading if the flag is set. TestJump fails if a
// release of Go changes the layout.
type timeLayout struct {
	wall uint64
	mono int64
	loc  *time.Location
}

// shift adds the offset to the wall clock only. Package time has no function for
// this: Add changes both readings.
func (clk *Clock) shift(now time.Time) time.Time {
	moved := now.Add(time.Duration(clk.offset.Load()))
	(*timeLayout)(unsafe.Pointer(&moved)).mono = (*timeLayout)(unsafe.Pointer(&now)).mono
	return moved
}

// FollowFile sets the offset from a file, again and again until the context ends.
// Without a file the offset is 0.
func (clk *Clock) FollowFile(ctx context.Context, path string) error {
	for {
		if err := clk.Read(path); err != nil {
			return err
		}
		if clk.Sleep(ctx, pollInterval) != nil {
			return nil
		}
	}
}

// Read sets the offset from a file, or to 0 if there is none.
func (clk *Clock) Read(path string) error {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		clk.SetOffset(0)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "skew")
	}
	offset, err := time.ParseDuration(strings.TrimSpace(string(raw)))
	if err != nil {
		return errors.Wrap(err, path)
	}
	clk.SetOffset(offset)
	return nil
}

// WriteOffset writes the file that sets the offset of all clocks that follow it.
// The file is replaced atomically.
func WriteOffset(path string, offset time.Duration) error {
	if err := os.WriteFile(path+".new", []byte(offset.String()), 0o600); err != nil {
		return errors.Wrap(err, "skew")
	}
	return errors.Wrap(os.Rename(path+".new", path), "skew")
}
