package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"lovagestream/core/call"
	"lovagestream/core/pause"
	"lovagestream/core/stock"
	"lovagestream/io/follow"
	"lovagestream/io/mesh"
)

// The next coordinator must not place requests on a server that is paused for the
// one before.
func TestPausesAreHandedOverWithRequests(t *testing.T) {
	ctl, lnk, _ := newHandedOver(t)
	ctl.observeRetryAfter(stock.Entry{ID: "m1", Service: "m"}, call.ResponseHead{Status: http.StatusServiceUnavailable, RetryAfter: 3 * time.Second})
	lnk.down["a"] = true
	ctl.applyAll(evUnlinked{address: "a"})
	got := messagesOf[mesh.Submit](lnk, "c")
	require.Len(t, got, 1)
	require.Len(t, got[0].Spec.Paused, 1)
	require.Equal(t, "m1", got[0].Spec.Paused[0].ID)
}

// A paused server must not get requests that free results either.
func TestResultsWaitForPausedServer(t *testing.T) {
	ctl, _, _ := newHandedOver(t)
	ctl.observeRetryAfter(stock.Entry{ID: "s", Service: "st"}, call.ResponseHead{Status: http.StatusServiceUnavailable, RetryAfter: 3 * time.Second})
	ctl.FreeResults("s:1", []string{"h0"})
	ctl.sendFrees(ctl.clk.Now())
	require.Equal(t, map[string][]string{"s:1": {"h0"}}, ctl.frees)
}

// The serving path must see a pause before the control thread has handled it.
func TestPauseTakesEffectAtOnce(t *testing.T) {
	ctl, _ := newControl(t)
	require.NoError(t, ctl.MaySend("p1"))
	ctl.observeRetryAfter(stock.Entry{ID: "p1"}, call.ResponseHead{Status: http.StatusServiceUnavailable, RetryAfter: 3 * time.Second})
	var pau *pause.Error
	require.True(t, errors.As(ctl.MaySend("p1"), &pau))
	require.Equal(t, "p1", pau.Server)
	list := []stock.Entry{{ID: "p1"}, {ID: "p2"}}
	paused, wait := ctl.Paused(list)
	require.Equal(t, map[string]bool{"p1": true}, paused)
	require.Zero(t, wait, "p2 takes requests")
	_, wait = ctl.Paused(list[:1])
	require.Positive(t, wait)
	list[1].Leaving = true
	_, wait = ctl.Paused(list)
	require.Positive(t, wait, "p2 leaves")
}

// A server starts again and asks for a pause before its entry names the new start. That pause must
// hold; one that the earlier start asked for must not.
func TestPauseOfTheNextStartHolds(t *testing.T) {
	for name, ended := range map[string]bool{"named by the earlier start": false, "named by the next start": true} {
		t.Run(name, func(t *testing.T) {
			ctl, _, now := newStreamed(t)
			ent := ctl.live[0]
			ent.StartedAt = 7
			ctl.at(now, evServers{list: follow.Listing{Revision: 9, Records: []stock.Record{{Revision: 9, Entry: ent}}}})
			if ended {
				ctl.at(now, evServerEnded{start: ent.Start()})
			}
			ctl.observeRetryAfter(ent, call.ResponseHead{Status: http.StatusServiceUnavailable, RetryAfter: 3 * time.Second})
			later := ent
			later.StartedAt = 8
			ctl.at(now, evServers{list: follow.Listing{Revision: 10, Records: []stock.Record{{Revision: 10, Entry: later}}}})
			require.Equal(t, ended, ctl.MaySend(ent.ID) != nil)
			later.StartedAt = 9
			ctl.at(now, evServers{list: follow.Listing{Revision: 11, Records: []stock.Record{{Revision: 11, Entry: later}}}})
			require.NoError(t, ctl.MaySend(ent.ID))
		})
	}
}
