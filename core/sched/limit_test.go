package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/place"
	"lovagestream/core/rates"
	"lovagestream/core/stock"
	"lovagestream/core/table"
)

// A rate-limited service must refuse callers well before they give up,
// and use its full rate.
func TestLimitedServiceRefusesInTime(t *testing.T) {
	const (
		rate     = 20
		patience = time.Second
		length   = 10 * time.Second
		step     = 10 * time.Millisecond
	)
	out := &effects{freed: map[string][]string{}, decisions: map[string]Decision{}}
	lim := rates.NewLimiter()
	sch := New(out, lim)
	sch.Configure(start, table.New(1, nil, []*table.Service{{Name: "plain"}}, nil, table.Limits{}), []stock.Entry{{ID: "p1", Address: "p1", Service: "plain", Zone: "z", Slots: 8}})
	lim.Observe(start, rates.Report{Server: "p1", Rate: rate})
	arrived := map[string]time.Time{}
	served := 0
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		id := fmt.Sprint(now.Sub(start))
		arrived[id] = now
		sch.Submit(now, Spec{Key: Key{"me", id}, Service: "plain", Arrived: now, Target: now.Add(2 * patience), GiveUp: now.Add(patience), Deadline: now.Add(patience)})
		sch.Tick(now)
		for id, dec := range out.decisions {
			delete(out.decisions, id)
			waited := now.Sub(arrived[id])
			if dec.Outcome == Placed {
				require.Less(t, waited, patience)
				served++
				sch.Began(now, Key{"me", id})
				sch.Ended(now, Key{"me", id}, place.Done)
				continue
			}
			require.Equal(t, reasonLimited, dec.Reason)
			require.LessOrEqual(t, waited, patience*3/4, "too little time left for a retry")
			require.Positive(t, dec.RetryAfter)
		}
	}
	require.GreaterOrEqual(t, float64(served), 0.85*rate*length.Seconds())
}
