package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/member"
	"lovagestream/core/resume"
	"lovagestream/core/stock"
	"lovagestream/io/follow"
	"lovagestream/io/mesh"
)

// at applies events at a time.
func (ctl *Control) at(now time.Time, evts ...event) {
	for _, evt := range evts {
		evt.apply(ctl, now)
	}
	ctl.publish(now)
}

// newStreamed returns an instance that knows one engine of v1 and has peers in its zone
// and in two others.
func newStreamed(t *testing.T) (*Control, *fakeLinks, time.Time) {
	t.Helper()
	ctl, lnk := newControl(t)
	now := ctl.clk.Now()
	ctl.at(now, evConfig{doc: []byte("3")}, versionRecord("e1", "v1", 4), evStoreResult{})
	for _, mem := range []member.Member{{Address: "c", Zone: "z", StartedAt: 1}, {Address: "d", Zone: "y", StartedAt: 2}, {Address: "f", Zone: "x", StartedAt: 3}} {
		ctl.at(now, evLinked{mem: mem})
	}
	ctl.updateStreams(now)
	return ctl, lnk, now
}

func versionRecord(id, version string, revision stock.Revision) event {
	rec := engineRecord(id, revision)
	rec.Entry.Version = version
	return evServers{list: follow.Listing{Revision: revision, Records: []stock.Record{rec}}}
}

// find looks for a stream and returns the channel with the answer.
func (ctl *Control) find(now time.Time, id string) chan resume.Record {
	reply := make(chan resume.Record, 1)
	ctl.at(now, evFindStream{key: lookupKey{id: id}, reply: reply})
	return reply
}

func record(now time.Time, id, version string) resume.Record {
	return resume.Record{ID: id, Service: "m", Version: version, Until: now.Add(10 * time.Minute)}
}

// An instance is killed right before a release. Others must have its records by then: those of
// one tick in one message to each keeper, to the own zone and to both others.
func TestRecordsAreSentWithOneVersion(t *testing.T) {
	ctl, lnk, now := newStreamed(t)
	for _, adr := range []string{"c", "d", "f"} {
		ctl.at(now, evMessage{from: adr, msg: mesh.Heartbeat{Heartbeat: member.Heartbeat{Ready: true, StoreAge: -1}}})
	}
	ctl.at(now, evStreamBegan{rec: record(now, "s1", "v1")}, evStreamBegan{rec: record(now, "s2", "v1")})
	ctl.shareStreams(now)
	ctl.shareStreams(now)
	for _, adr := range []string{"c", "d", "f"} {
		got := messagesOf[mesh.Streams](lnk, adr)
		require.Len(t, got, 1, adr)
		require.Len(t, got[0].List, 2, adr)
	}
}

// The first record decides; who doesn't know, is gone, or never answers must not hold the
// caller up for longer than the lookup lasts.
func TestLookupEnds(t *testing.T) {
	unknown := mesh.Streams{Unknown: []string{"s1"}}
	for name, tst := range map[string]struct {
		evts []event
		wait time.Duration
		want string
	}{
		"found":        {[]event{evMessage{from: "d", msg: mesh.Streams{List: []resume.Record{record(time.Now(), "s1", "v2")}}}}, 0, "v2"},
		"nobody knows": {[]event{evMessage{from: "c", msg: unknown}, evMessage{from: "d", msg: unknown}, evMessage{from: "f", msg: unknown}}, 0, ""},
		"one is gone":  {[]event{evMessage{from: "c", msg: unknown}, evUnlinked{address: "d"}, evMessage{from: "f", msg: unknown}}, 0, ""},
		"no answer":    {[]event{evMessage{from: "c", msg: unknown}}, lookupTimeout + time.Millisecond, ""},
	} {
		t.Run(name, func(t *testing.T) {
			ctl, lnk, now := newStreamed(t)
			ctl.at(now, versionRecord("e2", "v2", 6))
			reply := ctl.find(now, "s1")
			require.Len(t, messagesOf[mesh.AskStream](lnk, "d"), 1)
			require.Empty(t, reply)
			ctl.at(now, tst.evts...)
			ctl.endLookups(now.Add(tst.wait))
			require.Len(t, reply, 1)
			require.Equal(t, tst.want, (<-reply).Version)
			require.Empty(t, ctl.streams.lookups)
		})
	}
}

// All instances were killed, or one was, and only the next version is seen since, for however
// long. What began a stream without a record must not be inferred, whether it is named or not.
func TestVersionIsNotInferred(t *testing.T) {
	for name, key := range map[string]lookupKey{"named": {id: "s1"}, "not named": {request: 7}} {
		t.Run(name, func(t *testing.T) {
			ctl, lnk, now := newStreamed(t)
			now = now.Add(time.Hour)
			ctl.storeAt = now
			ctl.updateStreams(now)
			for _, adr := range []string{"c", "d", "f"} {
				ctl.at(now, evMessage{from: adr, msg: mesh.Heartbeat{Heartbeat: member.Heartbeat{Ready: true, StoreAge: -1}}})
			}
			reply := make(chan resume.Record, 1)
			ctl.at(now, evFindStream{key: key, reply: reply})
			for _, adr := range []string{"c", "d", "f"} {
				require.Equal(t, []mesh.AskStream{{ID: key.id, Request: key.request}}, messagesOf[mesh.AskStream](lnk, adr))
				require.Empty(t, reply)
				ctl.at(now, evMessage{from: adr, msg: mesh.Streams{Unknown: []string{key.id}, Requests: []uint64{key.request}}})
			}
			require.Empty(t, (<-reply).Version)
			require.Empty(t, ctl.streams.lookups)
		})
	}
}

// A peer that looks for a stream must get its record, or hear that there is none.
func TestPeersAreAnswered(t *testing.T) {
	ctl, lnk, now := newStreamed(t)
	one, two := record(now, "s1", "v1"), record(now, "s2", "v1")
	one.Request, two.Request = 7, 7
	ctl.at(now, evStreamBegan{rec: one}, evStreamBegan{rec: two})
	for _, ask := range []mesh.AskStream{{ID: "s1"}, {ID: "s3"}, {Request: 7}, {Request: 8}} {
		ctl.at(now, evMessage{from: "c", msg: ask})
	}
	got := messagesOf[mesh.Streams](lnk, "c")
	require.Len(t, got, 4)
	require.Equal(t, "s1", got[0].List[0].ID)
	require.Equal(t, mesh.Streams{Unknown: []string{"s3"}}, got[1])
	require.Len(t, got[2].List, 2)
	require.Equal(t, mesh.Streams{Requests: []uint64{8}}, got[3])
}

// An instance that was suspended while a release came and went must know its own streams, and
// no others.
func TestSuspendedInstanceKeepsItsRecords(t *testing.T) {
	ctl, _, now := newStreamed(t)
	ctl.at(now, evStreamBegan{rec: record(now, "s1", "v1")})
	now = now.Add(4 * time.Second)
	ctl.resume(now, 4*time.Second)
	ctl.at(now, versionRecord("e2", "v2", 6))
	require.Equal(t, "v1", (<-ctl.find(now, "s1")).Version)
	reply := ctl.find(now, "s2")
	ctl.endLookups(now.Add(lookupTimeout + time.Millisecond))
	require.Empty(t, (<-reply).Version)
}

// A caller that names no stream must get the version that its request has here and elsewhere,
// and none if the same request began streams at two.
func TestStreamWithoutName(t *testing.T) {
	for name, tst := range map[string]struct {
		own, peer, want string
	}{
		"here":      {"v1", "", "v1"},
		"elsewhere": {"", "v2", "v2"},
		"both":      {"v1", "v1", "v1"},
		"differing": {"v1", "v2", ""},
	} {
		t.Run(name, func(t *testing.T) {
			ctl, _, now := newStreamed(t)
			if tst.own != "" {
				rec := record(now, "s1", tst.own)
				rec.Request = 7
				ctl.at(now, evStreamBegan{rec: rec})
			}
			reply := make(chan resume.Record, 1)
			ctl.at(now, evFindStream{key: lookupKey{request: 7}, reply: reply})
			for _, adr := range []string{"c", "d", "f"} {
				msg := mesh.Streams{Requests: []uint64{7}}
				if adr == "d" && tst.peer != "" {
					rec := record(now, "s2", tst.peer)
					rec.Request = 7
					msg.List = []resume.Record{rec}
				}
				require.Empty(t, reply, "one more answer may differ")
				ctl.at(now, evMessage{from: adr, msg: msg})
			}
			require.Equal(t, tst.want, (<-reply).Version)
		})
	}
}
