package edge

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagestream/core/member"
	"lovagestream/core/speed"
	"lovagestream/core/stock"
	"lovagestream/io/follow"
	"lovagestream/io/mesh"
)

// The coordinator is lost. Its successor must begin with the speeds that it had learnt,
// and pass them on.
func TestSpeedsSurviveCoordinatorLoss(t *testing.T) {
	ctl, lnk := newControl(t)
	var records []stock.Record
	var speeds []speed.Record
	for num := range 12 {
		rec := engineRecord(fmt.Sprint("e", num), 4)
		records = append(records, rec)
		speeds = append(speeds, speed.Record{Server: rec.Entry.ID, Factor: []float64{0.6, 1.7}[num%2], Weight: 64})
	}
	ctl.applyAll(evConfig{doc: []byte("3")}, evServers{list: follow.Listing{Revision: 5, Records: records}, full: true}, evStoreResult{})
	ctl.heartbeat(ctl.clk.Now())
	for num, adr := range []string{"a", "c"} {
		ctl.applyAll(evLinked{mem: member.Member{Address: adr, Zone: "z", StartedAt: int64(num), MilliCPU: 800 - 500*num}}, evMessage{from: adr, msg: mesh.Heartbeat{Heartbeat: member.Heartbeat{Ready: true}}})
	}
	ctl.updateDuties(ctl.clk.Now())
	require.Equal(t, "a", ctl.coordinator)
	ctl.applyAll(evMessage{from: "a", msg: mesh.Speeds{Records: map[string][]speed.Record{"m": speeds, "gone": speeds}}})
	lnk.down["a"] = true
	ctl.applyAll(evUnlinked{address: "a"})
	require.Equal(t, "b", ctl.coordinator)
	require.Len(t, ctl.sched.SpeedRecords()["m"], len(speeds))
	ctl.applyAll(ctl.tick(), ctl.tick())
	require.Len(t, messagesOf[mesh.Speeds](lnk, "c"), 1)
}
