package follow

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"lovagestream/core/stock"
	"lovagestream/io/clock"
	"lovagestream/io/group"
	"lovagestream/io/lines"
)

// registeringStore is a store in which a server registers every period.
type registeringStore struct {
	period time.Duration
	begun  time.Time
	// down makes reads of the server list fail.
	down  bool
	calls atomic.Int64
}

func (reg *registeringStore) revision() stock.Revision {
	return 1 + stock.Revision(time.Since(reg.begun)/reg.period)
}

func (reg *registeringStore) Config(context.Context) (Document, error) {
	reg.calls.Add(1)
	return Document{Revision: reg.revision(), Config: []byte("1")}, nil
}

func (reg *registeringStore) WatchConfig(ctx context.Context, after stock.Revision, wait time.Duration) (Document, error) {
	reg.calls.Add(1)
	_ = clock.System{}.Sleep(ctx, wait)
	return Document{Revision: after}, ctx.Err()
}

func (reg *registeringStore) Servers(context.Context) (Listing, error) {
	reg.calls.Add(1)
	if reg.down {
		return Listing{}, errors.New("down")
	}
	return Listing{Revision: reg.revision()}, nil
}

func (reg *registeringStore) WatchServers(ctx context.Context, after stock.Revision, _ time.Duration) (Listing, error) {
	reg.calls.Add(1)
	for reg.revision() <= after && ctx.Err() == nil {
		_ = clock.System{}.Sleep(ctx, time.Millisecond)
	}
	out := Listing{Revision: reg.revision()}
	for rev := after + 1; rev <= out.Revision; rev++ {
		out.Records = append(out.Records, stock.Record{Revision: rev})
	}
	return out, ctx.Err()
}

func (reg *registeringStore) Reset() {}

// revisionSink keeps the last revision of the server list.
type revisionSink struct{ last atomic.Int64 }

func (snk *revisionSink) Config(Document, bool) {}
func (snk *revisionSink) StoreCallEnded(error)  {}

func (snk *revisionSink) Servers(lst Listing, _ bool) { snk.last.Store(lst.Revision.Count()) }

// Servers that register one by one must not cost every reader a call for each.
func TestRegistrationsAreCoalesced(t *testing.T) {
	reg := &registeringStore{period: 10 * time.Millisecond, begun: time.Now()}
	snk := &revisionSink{}
	log := lines.New(&bytes.Buffer{}, clock.System{})
	rdr := New(reg, snk, clock.System{}, log, func() Duty { return Duty{Reads: true, Readers: 1} }, 1)
	grp := group.New(context.Background())
	grp.Go(rdr.FollowServers)
	time.Sleep(firstReadDelay + 2*time.Second)
	grp.Stop()
	require.Greater(t, snk.last.Load(), int64(200))
	require.LessOrEqual(t, reg.calls.Load(), int64(2+2*time.Second/coalesceDelay))
}

// pairStore is a store in which two servers change within a few milliseconds.
type pairStore struct {
	registeringStore
	at   time.Time
	cold time.Duration
}

func (par *pairStore) WatchServers(ctx context.Context, after stock.Revision, wait time.Duration) (Listing, error) {
	begun := time.Now()
	for rev := after + 1; ctx.Err() == nil && time.Since(begun) < wait; _ = (clock.System{}).Sleep(ctx, time.Millisecond) {
		if rev <= 3 && time.Since(par.at) > time.Duration(rev)*2*time.Millisecond {
			return Listing{Revision: rev, Records: []stock.Record{{Revision: rev, Entry: stock.Entry{ColdStart: par.cold}}}}, nil
		}
	}
	return Listing{Revision: after}, ctx.Err()
}

// Servers that become cold together write their entries one after the other. The
// entry of the second must not be read a coalesceDelay after that of the first.
// Other changes wait, as each call of a reader costs.
func TestColdServersAreReadSoon(t *testing.T) {
	for cold, want := range map[time.Duration]int64{time.Second: 3, 0: 2} {
		par := &pairStore{registeringStore: registeringStore{period: time.Hour, begun: time.Now()}, at: time.Now().Add(firstReadDelay + 2*coalesceDelay), cold: cold}
		snk := &revisionSink{}
		rdr := New(par, snk, clock.System{}, lines.New(&bytes.Buffer{}, clock.System{}), func() Duty { return Duty{Reads: true, Readers: 1} }, 1)
		grp := group.New(context.Background())
		grp.Go(rdr.FollowServers)
		time.Sleep(time.Until(par.at) + coalesceDelay/2)
		require.Equal(t, want, snk.last.Load(), cold)
		grp.Stop()
	}
}

// startReaders starts many readers at the same time; stop ends their duty.
func startReaders(t *testing.T, reg *registeringStore, readers int) (stop func()) {
	t.Helper()
	var reads atomic.Bool
	reads.Store(true)
	log := lines.New(&bytes.Buffer{}, clock.System{})
	grp := group.New(context.Background())
	t.Cleanup(grp.Stop)
	for num := range readers {
		rdr := New(reg, &revisionSink{}, clock.System{}, log, func() Duty { return Duty{Reads: reads.Load(), Readers: readers} }, uint64(num))
		grp.Go(rdr.FollowServers)
	}
	return func() { reads.Store(false) }
}

// The store is down, and all of a large fleet lack fresh state at the same time.
// They must not all read at once, nor continue once they no longer have the duty.
func TestManyReadersSpreadFirstCalls(t *testing.T) {
	reg := &registeringStore{period: time.Hour, begun: time.Now(), down: true}
	stop := startReaders(t, reg, 60)
	time.Sleep(time.Second)
	require.LessOrEqual(t, reg.calls.Load(), int64(25))
	time.Sleep(time.Second)
	require.LessOrEqual(t, reg.calls.Load(), int64(42))
	stop()
	time.Sleep(time.Second)
	num := reg.calls.Load()
	time.Sleep(4 * time.Second)
	require.Equal(t, num, reg.calls.Load())
}

// The store refuses the readers of all zones while a key is revoked. Other
// instances must read early enough for the revocation to be in force everywhere
// in time.
func TestManyReadersReadAtOnce(t *testing.T) {
	for _, readers := range []int{30, 80, 200} {
		reg := &registeringStore{period: time.Hour, begun: time.Now()}
		stop := startReaders(t, reg, readers)
		time.Sleep(500 * time.Millisecond)
		require.GreaterOrEqual(t, reg.calls.Load(), int64(3), readers)
		stop()
	}
}

// A process that starts where others already read must read once, and not watch.
func TestNewProcessReadsOnce(t *testing.T) {
	reg := &registeringStore{period: 10 * time.Millisecond, begun: time.Now()}
	var reads atomic.Bool
	reads.Store(true)
	log := lines.New(&bytes.Buffer{}, clock.System{})
	rdr := New(reg, &revisionSink{}, clock.System{}, log, func() Duty { return Duty{Reads: reads.Load(), Readers: 1} }, 1)
	grp := group.New(context.Background())
	grp.Go(rdr.FollowServers)
	grp.Go(rdr.FollowConfig)
	time.Sleep(firstReadDelay / 2)
	reads.Store(false)
	time.Sleep(2 * firstReadDelay)
	grp.Stop()
	require.EqualValues(t, 2, reg.calls.Load())
}

// fullReads counts the full reads of the server list.
type fullReads struct {
	revisionSink
	num atomic.Int64
}

func (ful *fullReads) Servers(_ Listing, full bool) {
	if full {
		ful.num.Add(1)
	}
}

// A process resumes from a pause while its reader waits between two calls. The reader must read
// everything at once: until it has, the instance refuses callers.
func TestRestartEndsTheWaitBetweenCalls(t *testing.T) {
	for name, period := range map[string]time.Duration{"after the first read": time.Hour, "after changes": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reg, snk := &registeringStore{period: period, begun: time.Now()}, &fullReads{}
			rdr := New(reg, snk, clock.System{}, lines.New(&bytes.Buffer{}, clock.System{}), func() Duty { return Duty{Reads: true, Readers: 1} }, 1)
			grp := group.New(context.Background())
			defer grp.Stop()
			grp.Go(rdr.FollowServers)
			wait := firstReadDelay / 4
			if period < time.Hour {
				wait = firstReadDelay + 2*coalesceDelay
			}
			time.Sleep(wait)
			for num := range 5 {
				require.EqualValues(t, 1+num, snk.num.Load())
				rdr.Restart()
				time.Sleep(coalesceDelay / 2)
				require.EqualValues(t, 2+num, snk.num.Load())
			}
		})
	}
}
