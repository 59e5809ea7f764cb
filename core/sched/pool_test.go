package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/pause"
	"lovagestream/core/rates"
	"lovagestream/core/speed"
	"lovagestream/core/stock"
	"lovagestream/core/table"
)

// Piece times learnt from small calls must not be too long for full ones.
func TestPieceTimesAfterSmallCalls(t *testing.T) {
	const each, over = 2500 * time.Microsecond, 20 * time.Millisecond
	svc := &table.Service{Batch: &table.Batch{ConcurrentCalls: 1, QueuedCalls: 2, MaxPieces: 50, CallTime: 150 * time.Millisecond, PieceTime: 2600 * time.Microsecond}}
	pol := newPool(svc, rates.NewLimiter(), pause.NewSet[pauseKey]())
	ser := &server{slowdown: 1, sizeFactor: 1}
	knd := pieceKind{size: 6000, deps: 1}
	call := func(num int) {
		act := &activeCall{pool: pol, server: ser, startAt: start, nominalTime: svc.Batch.CallTime}
		for range num {
			act.pieces = append(act.pieces, &piece{stage: &stage{pool: pol, kind: knd}})
			act.nominalTime += pol.pieceTime(knd)
		}
		pol.observeCall(start.Add(svc.Batch.CallTime+time.Duration(num)*each+over), act)
	}
	for range 200 {
		call(4)
	}
	require.InDelta(t, float64(each), float64(pol.pieceTime(knd)), float64(each)/2, "after small calls")
	for range 20 {
		call(50)
	}
	require.InDelta(t, float64(each), float64(pol.pieceTime(knd)), float64(each)/5, "after full calls")
	require.InDelta(t, 1, ser.slowdown, 0.15)
}

// Piece times that are too long must decrease again.
func TestPieceTimesDecrease(t *testing.T) {
	svc := &table.Service{Batch: &table.Batch{ConcurrentCalls: 1, QueuedCalls: 2, MaxPieces: 50, CallTime: 150 * time.Millisecond, PieceTime: 2500 * time.Microsecond}}
	pol := newPool(svc, rates.NewLimiter(), pause.NewSet[pauseKey]())
	knd := pieceKind{size: 6000, deps: 1}
	pol.pieceTimes[knd] = 10 * time.Millisecond
	for range 30 {
		act := &activeCall{pool: pol, server: &server{slowdown: 1, sizeFactor: 1}, startAt: start, nominalTime: svc.Batch.CallTime}
		for range 50 {
			act.pieces = append(act.pieces, &piece{stage: &stage{pool: pol, kind: knd}})
			act.nominalTime += pol.pieceTime(knd)
		}
		pol.observeCall(start.Add(275*time.Millisecond), act)
	}
	require.Less(t, pol.pieceTime(knd), 4*time.Millisecond)
}

// Calls that are late for one reason must not multiply the learnt time of a
// piece.
func TestSimultaneousCallsAreLearntOnce(t *testing.T) {
	const each, servers = 2500 * time.Microsecond, 16
	svc := &table.Service{Batch: &table.Batch{ConcurrentCalls: 1, QueuedCalls: 2, MaxPieces: 50, CallTime: 150 * time.Millisecond, PieceTime: each}}
	pol := newPool(svc, rates.NewLimiter(), pause.NewSet[pauseKey]())
	knd := pieceKind{size: 6000, deps: 1}
	var inFlight []*activeCall
	for range servers {
		act := &activeCall{pool: pol, server: &server{slowdown: 1, sizeFactor: 1}, startAt: start, nominalTime: svc.Batch.CallTime}
		for range 50 {
			act.pieces = append(act.pieces, &piece{stage: &stage{pool: pol, kind: knd}})
			act.nominalTime += pol.pieceTime(knd)
		}
		inFlight = append(inFlight, act)
	}
	took := inFlight[0].nominalTime * 3 / 2
	for _, act := range inFlight {
		pol.observeCall(start.Add(took), act)
	}
	require.LessOrEqual(t, pol.pieceTime(knd), (took-svc.Batch.CallTime)/50, "no piece took longer")
}

// A server says that work takes longer on its machine now. Calls must go elsewhere
// until that is old news, and a report of an earlier start counts for nothing.
func TestReportedLoadSlowsServer(t *testing.T) {
	svc := &table.Service{Name: "s", Batch: &table.Batch{ConcurrentCalls: 1, MaxPieces: 8, CallTime: 150 * time.Millisecond}}
	sch := New(nil, rates.NewLimiter())
	pol := newPool(svc, sch.rates, sch.pauses)
	sch.pools["s"] = pol
	list := []stock.Entry{{ID: "a", Service: "s", StartedAt: 2}, {ID: "b", Service: "s", StartedAt: 2}}
	pol.configure(svc, list, func(*server) {})
	first := func(now time.Time) string { return pol.freeServers(now)[0].ent.ID }
	require.Equal(t, "a", first(start))
	sch.ObserveLoad(start, stock.Entry{ID: "a", Service: "s", StartedAt: 1}, speed.Load{Slots: 1, Factor: 2.5})
	require.Equal(t, "a", first(start))
	sch.ObserveLoad(start, list[0], speed.Load{Slots: 1, Factor: 2.5})
	require.Equal(t, "b", first(start))
	require.InDelta(t, 2.5, pol.servers["a"].expectedSlowdown(start), 0.01)
	require.Equal(t, "a", first(start.Add(time.Second)))
	sch.ObserveLoad(start, list[0], speed.Load{Slots: 1, Factor: 1})
	require.Equal(t, "a", first(start))
	list[0].StartedAt = 3
	sch.ObserveLoad(start, list[1], speed.Load{Slots: 1, Factor: 2.5})
	pol.configure(svc, list, func(*server) {})
	require.Zero(t, pol.servers["a"].load)
	require.NotZero(t, pol.servers["b"].load)
}
