package entry

import (
	"context"
	"sync"
	"time"

	"lovagestream/core/place"
	"lovagestream/core/sched"
	"lovagestream/io/clock"
	"lovagestream/io/lines"
)

// mover watches one send until its response begins. If that takes too long, it
// asks the coordinator for another engine and cancels the send once there is
// one.
type mover struct {
	// ctx is the context of the send.
	ctx    context.Context
	cancel context.CancelFunc
	dog    clock.Watchdog

	mu sync.Mutex
	// begun is set once the response has begun or the send has ended. It excludes
	// next.
	begun bool
	// next has the placement to which the request moves; nil if it stays.
	next chan sched.Decision
	// refused is set if the send was canceled because the request crashes servers.
	refused bool
	// unwatch ends the watch of the evidence.
	unwatch func()
}

// watchSend starts a watch of a send to the placement in dec. A request that
// may not run twice, or has no attempts left, is never moved.
func (arq *activeRequest) watchSend(ctx context.Context, stm *stream, spc sched.Spec, dec sched.Decision) *mover {
	mov := &mover{}
	mov.ctx, mov.cancel = context.WithCancel(ctx)
	mov.unwatch = arq.srv.waiting.add(mov, arq.marks())
	if !arq.rou.Resumable || stm.headSent || arq.attempts+1 >= arq.rou.MaxAttempts || dec.Estimate <= 0 {
		return mov
	}
	wait := place.MoveAfter(dec.Estimate)
	mov.dog = arq.srv.clk.StartWatchdog(wait, func() { arq.askToMove(mov, spc, dec.Server.ID, wait) })
	return mov
}

// askToMove asks for another engine. It blocks until the answer or the end of
// the send.
func (arq *activeRequest) askToMove(mov *mover, spc sched.Spec, engine string, waited time.Duration) {
	if mov.hasBegun() {
		return
	}
	dec := sched.Decision{Reason: reasonNoRetries}
	moved := false
	if arq.newRetry() {
		spc.Avoid = append(spc.Avoid[:len(spc.Avoid):len(spc.Avoid)], engine)
		spc.Retry = true
		select {
		case dec = <-arq.srv.ctl.Retry(spc, place.Slow, false):
		case <-mov.ctx.Done():
			arq.dropRetry()
			return
		}
		if moved = dec.Outcome == sched.Placed && mov.moveTo(dec); !moved {
			arq.dropRetry()
		}
	}
	arq.srv.gau.Count("moves", map[bool]string{true: "moved", false: "stayed"}[moved])
	arq.srv.log.Log("engine-slow", lines.Fields{"id": arq.req.ID, "server": engine, "waited": waited.Milliseconds(), "moved": moved, "to": dec.Server.ID, "reason": dec.Reason})
}

func (mov *mover) hasBegun() bool {
	mov.mu.Lock()
	defer mov.mu.Unlock()
	return mov.begun
}

// begin records that the response has begun. It returns false if the request
// has moved or is refused: the response must not be used then.
func (mov *mover) begin() bool {
	mov.mu.Lock()
	defer mov.mu.Unlock()
	mov.begun = true
	return mov.next == nil && !mov.refused
}

// moveTo moves the request unless its response has begun. It reports whether it
// did.
func (mov *mover) moveTo(dec sched.Decision) bool {
	mov.mu.Lock()
	defer mov.mu.Unlock()
	if mov.begun {
		return false
	}
	mov.next = make(chan sched.Decision, 1)
	mov.next <- dec
	mov.cancel()
	return true
}

// refuse cancels the send unless its response has begun.
func (mov *mover) refuse() {
	mov.mu.Lock()
	defer mov.mu.Unlock()
	if !mov.begun {
		mov.begun, mov.refused = true, true
		mov.cancel()
	}
}

// end ends the watch. It returns a channel with the next placement, or nil if
// the request did not move.
func (mov *mover) end() <-chan sched.Decision {
	if mov.dog != nil {
		mov.dog.Stop()
	}
	mov.unwatch()
	mov.begin()
	mov.cancel()
	mov.mu.Lock()
	defer mov.mu.Unlock()
	return mov.next
}
