package follow

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/stock"
	"lovagestream/io/clock"
	"lovagestream/io/group"
	"lovagestream/io/lines"
)

// registering is a store in which a server registers every few milliseconds.
type registering struct {
	period time.Duration
	begun  time.Time
	calls  atomic.Int64
}

func (reg *registering) revision() stock.Revision {
	return 1 + stock.Revision(time.Since(reg.begun)/reg.period)
}

func (reg *registering) Config(context.Context) (Document, error) {
	reg.calls.Add(1)
	return Document{Revision: reg.revision(), Bytes: []byte("1")}, nil
}

func (reg *registering) WatchConfig(ctx context.Context, after stock.Revision, wait time.Duration) (Document, error) {
	reg.calls.Add(1)
	_ = clock.System{}.Sleep(ctx, wait)
	return Document{Revision: after}, ctx.Err()
}

func (reg *registering) Servers(context.Context) (Listing, error) {
	reg.calls.Add(1)
	return Listing{Revision: reg.revision()}, nil
}

func (reg *registering) WatchServers(ctx context.Context, after stock.Revision, _ time.Duration) (Listing, error) {
	reg.calls.Add(1)
	for reg.revision() <= after && ctx.Err() == nil {
		_ = clock.System{}.Sleep(ctx, time.Millisecond)
	}
	out := Listing{Revision: reg.revision()}
	for rev := after + 1; rev <= out.Revision; rev++ {
		out.Words = append(out.Words, stock.Known{Revision: rev})
	}
	return out, ctx.Err()
}

func (reg *registering) Reset() {}

// taking notes up to where it heard of registrations.
type taking struct{ last atomic.Int64 }

func (tak *taking) Config(Document, bool) {}
func (tak *taking) Store(error)           {}

func (tak *taking) Servers(lst Listing, _ bool) { tak.last.Store(lst.Revision.Count()) }

// Servers that register one by one must not cost every reader a call for each.
func TestRegistrationsAreGathered(t *testing.T) {
	reg := &registering{period: 10 * time.Millisecond, begun: time.Now()}
	tak := &taking{}
	jou := lines.New(&bytes.Buffer{}, clock.System{})
	rdr := New(reg, tak, clock.System{}, jou, func() Duty { return Duty{Reads: true, Crowd: 1} }, 1)
	grp := group.New(context.Background())
	grp.Go(rdr.Lists)
	time.Sleep(settlePause + 2*time.Second)
	grp.Stop()
	require.Greater(t, tak.last.Load(), int64(200))
	require.LessOrEqual(t, reg.calls.Load(), int64(2+2*time.Second/gatherPause))
}

// The store is down and a large fleet loses its news at one moment: the others must
// not all ask at once, nor go on after somebody has news again.
func TestCrowdWaitsBeforeItAsks(t *testing.T) {
	reg := &registering{period: 10 * time.Millisecond, begun: time.Now()}
	var reads atomic.Bool
	reads.Store(true)
	jou := lines.New(&bytes.Buffer{}, clock.System{})
	grp := group.New(context.Background())
	const crowd = 60
	for num := range crowd {
		rdr := New(reg, &taking{}, clock.System{}, jou, func() Duty { return Duty{Reads: reads.Load(), Crowd: crowd} }, uint64(num))
		grp.Go(rdr.Lists)
	}
	time.Sleep(2 * time.Second)
	reads.Store(false)
	time.Sleep(5 * time.Second)
	grp.Stop()
	require.LessOrEqual(t, reg.calls.Load(), int64(crowd/2))
}

// A process that starts where others read already must read once, and not follow.
func TestStarterReadsOnce(t *testing.T) {
	reg := &registering{period: 10 * time.Millisecond, begun: time.Now()}
	var reads atomic.Bool
	reads.Store(true)
	jou := lines.New(&bytes.Buffer{}, clock.System{})
	rdr := New(reg, &taking{}, clock.System{}, jou, func() Duty { return Duty{Reads: reads.Load(), Crowd: 1} }, 1)
	grp := group.New(context.Background())
	grp.Go(rdr.Lists)
	grp.Go(rdr.Configs)
	time.Sleep(settlePause / 2)
	reads.Store(false)
	time.Sleep(2 * settlePause)
	grp.Stop()
	require.EqualValues(t, 2, reg.calls.Load())
}
