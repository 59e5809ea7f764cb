package edge

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/sched"
)

// After a pause of its process, a coordinator must not forget its own waiting
// request.
func TestOwnWaitingRequestSurvivesAPause(t *testing.T) {
	ctl, _ := newControl(t)
	loadState(ctl)
	ctl.updateDuties(ctl.clk.Now())
	require.Equal(t, "b", ctl.coordinator)
	spec := func(id string) sched.Spec {
		now := ctl.clk.Now()
		return sched.Spec{Key: sched.Key{Owner: "b", ID: id}, Service: "m", PromptTokens: 10, MaxOutputTokens: 10, Arrived: now, Target: now.Add(20 * time.Second), GiveUp: now.Add(30 * time.Second), Deadline: now.Add(30 * time.Second)}
	}
	outs := map[string]chan sched.Decision{}
	waits := ""
	for num := 0; num < 20 && waits == ""; num++ {
		id := strconv.Itoa(num)
		outs[id] = make(chan sched.Decision, 1)
		ctl.applyAll(evSubmit{spec: spec(id), reply: outs[id]})
		if len(outs[id]) == 0 {
			waits = id
		}
	}
	require.NotEmpty(t, waits, "no request waits")
	ctl.resume(ctl.clk.Now(), 4*time.Second)
	loadState(ctl)
	require.True(t, ctl.View().Verified)
	for id := range outs {
		if id != waits {
			ctl.applyAll(evEnded{id: id, outcome: 0})
		}
	}
	ctl.applyAll(ctl.tick())
	ctl.updateDuties(ctl.clk.Now())
	ctl.applyAll(ctl.tick())
	require.Len(t, outs[waits], 1, "no decision although all engines are free")
}
