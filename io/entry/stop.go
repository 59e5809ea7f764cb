package entry

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// stoppingRetryAfter is the retry delay for callers that another instance can
	// serve at once.
	stoppingRetryAfter = 20 * time.Millisecond
	// reasonStopping is the reason of an answer that a planned stop causes.
	reasonStopping = "stopping"
)

// plannedStop tells the active requests how far a planned stop has come. It is safe for
// concurrent use.
//
// Load pattern: an instance stops while all servers are taken, and requests that it has
// read wait for longer than its process lasts.
type plannedStop struct {
	// waitsOver is closed once requests that wait are left to other instances.
	waitsOver chan struct{}

	mu     sync.Mutex
	active map[*activeRequest]context.CancelFunc
}

func newPlannedStop() plannedStop {
	return plannedStop{waitsOver: make(chan struct{}), active: map[*activeRequest]context.CancelFunc{}}
}

// watch adds a request, whose work cancel ends. The function that it returns removes it.
func (pst *plannedStop) watch(arq *activeRequest, cancel context.CancelFunc) func() {
	pst.mu.Lock()
	defer pst.mu.Unlock()
	pst.active[arq] = cancel
	return func() {
		pst.mu.Lock()
		defer pst.mu.Unlock()
		delete(pst.active, arq)
	}
}

// RefuseWaiting refuses the requests that wait for a server, as far as their time is not
// over before the planned stop. It must be called once.
func (srv *Server) RefuseWaiting() { close(srv.stop.waitsOver) }

// EndUnanswered answers the requests of which no byte of an answer was sent, since the
// process ends.
func (srv *Server) EndUnanswered() int {
	srv.stop.mu.Lock()
	defer srv.stop.mu.Unlock()
	num := 0
	for arq, cancel := range srv.stop.active {
		if !arq.answering.Load() {
			num++
			arq.stopped.Store(true)
			cancel()
		}
	}
	return num
}

// answerStopped answers a request that EndUnanswered has ended.
func (arq *activeRequest) answerStopped(last outcome) {
	if arq.attempts == 0 {
		arq.refuse(reasonStopping, stoppingRetryAfter)
		return
	}
	arq.fail(http.StatusBadGateway, reasonStopping+","+last.reason, last.err)
}

// mayOutlastStop reports whether a request's deadline is after the end of a
// planned stop, so that its answer could be cut off. At that time callers
// should already use another instance, which can serve it completely.
func (arq *activeRequest) mayOutlastStop() bool {
	// The body may have taken longer than the view that the request came with.
	end := arq.srv.ctl.View().ClosingAt
	return !end.IsZero() && arq.deadline.After(end)
}
