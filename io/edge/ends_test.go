package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/member"
	"lovagestream/core/stock"
	"lovagestream/core/table"
	"lovagestream/io/conns"
	"lovagestream/io/follow"
	"lovagestream/io/mesh"
)

// A peer without a path reports a server's end. The end must be taken back if the server is
// reached at once, and only then: later it may have started again with other software.
func TestReportedEndIsChecked(t *testing.T) {
	for name, tst := range map[string]struct {
		age, took time.Duration
		checked   bool
		ended     bool
	}{
		"reached at once": {0, 30 * time.Millisecond, true, false},
		"reached late":    {0, maxCheckDelay + time.Millisecond, true, true},
		"reported late":   {maxCheckDelay + time.Millisecond, 0, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctl, lnk, now := newStreamed(t)
			var checks []func()
			ctl.reach = func(_, _ string, fun func()) { checks = append(checks, fun) }
			start := ctl.live[0].Start()
			crs := mesh.Crash{Request: 1, Server: start, Ended: true, At: now.Add(-tst.age)}
			ctl.at(now, evCrash{msg: crs, from: "c"}, evCrash{msg: crs, from: "d"})
			require.True(t, ctl.View().EndedStarts[start])
			require.Equal(t, tst.checked, len(checks) == 1, "%d checks", len(checks))
			ctl.at(now.Add(tst.took), evReached{start: start, reported: crs.At})
			require.Equal(t, tst.ended, ctl.View().EndedStarts[start])
			require.Equal(t, tst.ended, ctl.marks.EndedBefore(start, now.Add(time.Hour)), "the crash")
			require.Equal(t, tst.ended, len(messagesOf[mesh.Answered](lnk, "f")) == 0)
		})
	}
}

// The end that a peer takes back must be taken back here, and not come again with an older
// report.
func TestPeersTakeEndsBack(t *testing.T) {
	ctl, _, now := newStreamed(t)
	start := ctl.live[0].Start()
	crs := mesh.Crash{Request: 1, Server: start, Ended: true, At: now}
	ctl.at(now, evCrash{msg: crs, local: true})
	now = now.Add(40 * time.Millisecond)
	ctl.at(now, evMessage{from: "c", msg: mesh.Answered{Servers: []string{start}, Running: []string{start}}})
	require.False(t, ctl.View().EndedStarts[start])
	ctl.at(now, evCrash{msg: crs, from: "d"})
	require.False(t, ctl.View().EndedStarts[start])
}

// An observed server ends. All peers must hear of it at once, and those that link later, and no
// request may be taken for the cause.
func TestObservedEndIsToldToPeers(t *testing.T) {
	ctl, lnk, now := newStreamed(t)
	var observed []conns.Observed
	ctl.observe = func(list []conns.Observed) { observed = list }
	ent := ctl.live[0]
	ent.StartedAt = 7
	ctl.at(now, evServers{list: follow.Listing{Revision: 9, Records: []stock.Record{{Revision: 9, Entry: ent}}}})
	ctl.updateObserved(now)
	require.Empty(t, observed, "no stream of it can be resumed")
	ctl.tab = table.New(9, []*table.Route{{Host: "h", Shares: []table.TrafficShare{{Service: ent.Service}}, Resumable: true}}, nil, nil, table.Limits{})
	ctl.updateObserved(now)
	start := ctl.live[0].Start()
	require.Equal(t, []conns.Observed{{Start: start, Service: ent.Service, Address: ent.Address}}, observed)
	ctl.at(now, evServerEnded{start: start}, evServerEnded{start: start}, evServerEnded{start: "unknown"})
	require.True(t, ctl.View().EndedStarts[start])
	require.Zero(t, ctl.marks.Len())
	want := mesh.Crash{Server: start, Ended: true, At: now}
	require.Equal(t, []mesh.Crash{want}, messagesOf[mesh.Crash](lnk, "c"))
	ctl.at(now, evLinked{mem: member.Member{Address: "g", Zone: "x", StartedAt: 4}})
	require.Equal(t, []mesh.Crashes{{List: []mesh.Crash{want}}}, messagesOf[mesh.Crashes](lnk, "g"))
	other, _, _ := newStreamed(t)
	other.at(now, evServers{list: follow.Listing{Revision: 9, Records: []stock.Record{{Revision: 9, Entry: ent}}}})
	other.at(now, evMessage{from: "c", msg: want})
	require.True(t, other.View().EndedStarts[start])
	require.Zero(t, other.marks.Len())
}
