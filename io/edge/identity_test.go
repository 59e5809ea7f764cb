package edge

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"lovagestream/core/call"
	"lovagestream/core/member"
	"lovagestream/core/rates"
	"lovagestream/core/stock"
	"lovagestream/core/table"
	"lovagestream/io/clock"
	"lovagestream/io/follow"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

// coldDecoder decodes to a configuration whose servers are cold for 4 s.
type coldDecoder struct{}

func (coldDecoder) Config([]byte) (*table.Table, error) {
	return table.New(3, nil, []*table.Service{{Name: "m", Model: &table.Model{Slots: 8, CacheTokens: 1 << 20}, ColdStart: 4 * time.Second, ColdStartRate: 4}, {Name: "st", Batch: &table.Batch{ConcurrentCalls: 1, MaxPieces: 8}}}, nil, table.Limits{}), nil
}

func startedRecord(revision stock.Revision, started, sequence int64) stock.Record {
	rec := engineRecord("e", revision)
	rec.Entry.StartedAt, rec.Entry.Sequence = started, sequence
	return rec
}

func (ctl *Control) read(records ...stock.Record) {
	last := records[len(records)-1].Revision
	ctl.applyAll(evServers{list: follow.Listing{Revision: last, Records: records}})
}

// newStarted returns a control that knows one start of the server e.
func newStarted(t *testing.T) (*Control, *fakeLinks) {
	t.Helper()
	ctl, lnk := newControl(t)
	ctl.dec = coldDecoder{}
	ctl.applyAll(evConfig{doc: []byte("3")}, evServers{list: follow.Listing{Revision: 5, Records: []stock.Record{startedRecord(4, 100, 9)}}, full: true}, evStoreResult{})
	return ctl, lnk
}

// A server starts again under its ID. The pause and the limit that it asked for
// and the results that it held must not outlive the earlier start.
func TestNewStartOfServerKeepsNothing(t *testing.T) {
	ctl, _ := newStarted(t)
	now := ctl.clk.Now()
	ent := startedRecord(4, 100, 9).Entry
	ctl.observeRetryAfter(ent, call.ResponseHead{Status: http.StatusServiceUnavailable, RetryAfter: time.Minute})
	ctl.applyAll(<-ctl.events)
	ctl.applyLimit(now, rates.Report{Server: "e", Rate: 1}, "")
	ctl.FreeResults("e", []string{"h0"})
	require.Error(t, ctl.MaySend("e"))
	require.Equal(t, 1, ctl.limits.limiter.Len())
	require.Zero(t, ctl.limits.limiter.ColdServers())

	ctl.read(startedRecord(6, 90, 99))
	require.Error(t, ctl.MaySend("e"), "an entry of an earlier start that arrives late")
	ctl.read(startedRecord(7, 200, 1))
	require.NoError(t, ctl.MaySend("e"))
	require.Zero(t, ctl.limits.limiter.Len())
	require.Empty(t, ctl.frees)
	require.Equal(t, 1, ctl.limits.limiter.ColdServers(), "the new start is cold")
	require.EqualValues(t, 200, ctl.View().Servers["m"][0].StartedAt)
}

// The next coordinator must not be sent results that a server lost when it
// started again.
func TestNewStartOfServerHoldsNoResults(t *testing.T) {
	ctl, lnk, _ := newHandedOver(t)
	rec := stock.Record{Revision: 8, Entry: stock.Entry{ID: "s", Service: "st", Address: "s:1", Zone: "z", StartedAt: 100}}
	ctl.read(rec)
	rec.Revision, rec.Entry.StartedAt = 9, 200
	ctl.read(rec)
	lnk.down["a"] = true
	ctl.applyAll(evUnlinked{address: "a"})
	got := messagesOf[mesh.Submit](lnk, "c")
	require.Len(t, got, 1)
	require.Empty(t, got[0].Spec.HeldResults)
}

// Entries lapse while the store is down. A server that comes back as the start
// that it was is warm, and one that has started again is cold.
func TestLapsedServerIsColdOnlyAfterNewStart(t *testing.T) {
	for _, one := range []struct {
		started int64
		cold    int
	}{{100, 0}, {200, 1}} {
		ctl, _ := newStarted(t)
		other := engineRecord("f", 5)
		ctl.read(other, stock.Record{Revision: 6, Removed: true, Entry: stock.Entry{ID: "e"}})
		ctl.applyDueLimits(ctl.clk.Now())
		ctl.coldUntil = map[string]time.Time{}
		ctl.limits.limiter.Forget(func(string) bool { return true })
		ctl.read(startedRecord(7, one.started, 10))
		require.Equal(t, one.cold, ctl.limits.limiter.ColdServers(), "started %d", one.started)
	}
}

// Another writer replaces a server's entry by one that can't be read. It names no
// server, here and at the peers, until the server writes again.
func TestUnreadableEntryNamesNoServer(t *testing.T) {
	ctl, lnk := newStarted(t)
	var out bytes.Buffer
	ctl.log = lines.New(&out, clock.System{})
	ctl.applyAll(evLinked{mem: member.Member{Address: "a", Zone: "z", StartedAt: 1}}, evMessage{from: "a", msg: mesh.Heartbeat{Heartbeat: member.Heartbeat{Ready: true}}})
	ctl.read(engineRecord("f", 5))
	before := ctl.registry.Len()
	bad := func(id string, revision stock.Revision) evServers {
		return evServers{list: follow.Listing{Revision: revision, Errors: []error{errors.New("bad " + id)}, Unreadable: []stock.Record{{Revision: revision, Removed: true, Entry: stock.Entry{ID: id}}}}}
	}
	ctl.applyAll(bad("e", 6), bad("unknown", 7), bad("unknown", 8), ctl.tick())
	require.Len(t, ctl.View().Servers["m"], 1)
	require.True(t, ctl.View().Unusable["e"])
	require.Equal(t, before, ctl.registry.Len(), "unknown IDs take no room")
	require.Len(t, logLines(t, ctl, &out, "server-unreadable"), 2)
	var sent []stock.Record
	for _, msg := range messagesOf[mesh.Servers](lnk, "a") {
		sent = append(sent, msg.List...)
	}
	require.Contains(t, sent, stock.Record{Revision: 6, Removed: true, Entry: stock.Entry{ID: "e"}})
	never, _ := newControl(t)
	never.dec = coldDecoder{}
	never.applyAll(evConfig{doc: []byte("3")}, evServers{list: follow.Listing{Revision: 5, Records: []stock.Record{engineRecord("f", 5)}}, full: true})
	require.Equal(t, never.registry.Digest(), ctl.registry.Digest(), "one that never had it")
	ctl.read(startedRecord(9, 100, 10))
	require.Len(t, ctl.View().Servers["m"], 2)
}

// A malformed load must be logged once for each server, however many answers
// carry it, and must not reach the scheduler.
func TestMalformedLoadIsLoggedOnce(t *testing.T) {
	ctl, _ := newStarted(t)
	var out bytes.Buffer
	ctl.log = lines.New(&out, clock.System{})
	ent := stock.Entry{ID: "s", Service: "st"}
	for range 3 {
		ctl.ObserveResponse(ent, call.ResponseHead{LoadInvalid: true})
	}
	require.Empty(t, ctl.events)
	require.Len(t, logLines(t, ctl, &out, "load-unreadable"), 1)
	for num := range 2 * maxUnreadable {
		ctl.noteUnreadable(string(rune('\u4e00'+num)), "load")
	}
	require.Len(t, ctl.unreadable.logged, maxUnreadable)
	ctl.ObserveResponse(ent, call.ResponseHead{Slots: 1, WorkFactor: 2.5})
	require.Len(t, ctl.events, 1)
	ctl.ObserveResponse(stock.Entry{ID: "e", Service: "m"}, call.ResponseHead{Slots: 1, WorkFactor: 2.5})
	require.Len(t, ctl.events, 1, "the scheduler makes no calls to these")
}
