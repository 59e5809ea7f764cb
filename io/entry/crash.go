package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/call"
	"lovagestream/core/marks"
	"lovagestream/core/sched"
	"lovagestream/core/stock"
	"lovagestream/io/conns"
	"lovagestream/io/lines"
)

// crashCheckTime is how long a lost connection may turn out to be one of this instance's
// path, before it counts against the request. Trial connections to the server and to two
// others take less.
const crashCheckTime = 700 * time.Millisecond

// MarksOf returns the fingerprints of a request that is submitted for placement.
func MarksOf(spc *sched.Spec) marks.Request {
	return newMarks(marks.Fingerprint(spc.Fingerprint), spc.Service, spc.Parts)
}

func newMarks(whole marks.Fingerprint, service string, parts []call.PromptPart) marks.Request {
	out := make(marks.Request, 1, 1+len(parts))
	out[0] = whole
	for _, part := range parts {
		out = append(out, marks.NewPartFingerprint(service, part.ID))
	}
	return out
}

// marks returns the fingerprints of the request.
func (arq *activeRequest) marks() marks.Request {
	if arq.prints == nil {
		arq.prints = newMarks(arq.fpr, arq.service, arq.req.Parts)
	}
	return arq.prints
}

// checkMarks returns a *marks.RefusedError if requests like this one crash servers.
func (arq *activeRequest) checkMarks() error {
	tab := arq.srv.ctl.View().Marks
	if tab.Refusals() == 0 {
		return nil
	}
	if fpr, refused := tab.Cause(arq.srv.clk.Now(), arq.marks()); refused {
		arq.noteCause(fpr)
		return &marks.RefusedError{Fingerprint: fpr}
	}
	return nil
}

// noteCause keeps for the log why the request is refused.
func (arq *activeRequest) noteCause(fpr marks.Fingerprint) {
	arq.cause = fpr
	if num := slices.Index(arq.marks(), fpr); num > 0 {
		arq.causePart = arq.req.Parts[num-1].ID
	}
}

// soundAfter is how long after its first event a stream shows that no part of its prompt
// crashes servers: those that do crash a server as it begins to answer.
const soundAfter = 500 * time.Millisecond

// reportSound reports that the request was answered, if crashes count against any of its
// fingerprints. Of an answer that goes on, only the parts of the prompt are known to be sound.
func (arq *activeRequest) reportSound(complete bool) {
	tab := arq.srv.ctl.View().Marks
	if tab.Len() == 0 {
		return
	}
	list := arq.marks().Parts()
	if complete {
		list = arq.marks()
	}
	list = slices.DeleteFunc(slices.Clone(list), func(fpr marks.Fingerprint) bool { return !tab.Suspected(fpr) })
	if len(list) > 0 {
		arq.srv.ctl.Sound(list...)
	}
}

// reportCrash reports a server that closed the connection with the request in flight, unless
// the request was canceled. begun is when its answer began, zero before.
func (arq *activeRequest) reportCrash(ctx context.Context, ent stock.Entry, err error, begun time.Time) {
	if ctx.Err() != nil || !conns.ServerClosed(err) {
		return
	}
	if arq.srv.ctl.View().Unusable[ent.ID] {
		// A server that leaves exits at some time, with what is still in flight.
		arq.srv.gau.Count("crash-checks", "leaving")
		return
	}
	req := arq.marks()
	if !begun.IsZero() && arq.srv.clk.Now().Sub(begun) >= soundAfter {
		req = req[:1]
	}
	rpt := &crashReport{srv: arq.srv, id: arq.req.ID, req: req, service: arq.service, ent: ent}
	for _, part := range arq.req.Parts[:len(req)-1] {
		rpt.names = append(rpt.names, arq.service+"/"+part.ID)
	}
	var end *call.EndedError
	if errors.As(err, &end) {
		rpt.report(true)
		return
	}
	arq.srv.poo.CheckPath(arq.service, ent.Address)
	arq.srv.poo.CheckEnded(arq.service, ent.Address, rpt.checked)
}

// waitingSends are the sends whose response hasn't begun. It is safe for concurrent use.
type waitingSends struct {
	mu    sync.Mutex
	sends map[*mover]marks.Request
}

// add adds a send. The function that it returns removes it.
func (wai *waitingSends) add(mov *mover, req marks.Request) func() {
	wai.mu.Lock()
	defer wai.mu.Unlock()
	wai.sends[mov] = req
	return func() {
		wai.mu.Lock()
		defer wai.mu.Unlock()
		delete(wai.sends, mov)
	}
}

// CancelRefused cancels the sends of requests that crash servers, as far as their responses
// haven't begun: most wait for their turn at the server, which then drops them.
func (srv *Server) CancelRefused(tab *marks.Table) {
	now := srv.clk.Now()
	srv.waiting.mu.Lock()
	defer srv.waiting.mu.Unlock()
	for mov, req := range srv.waiting.sends {
		if _, refused := tab.Cause(now, req); refused {
			mov.refuse()
		}
	}
}

// crashReport is the report of a server that may have crashed under a request.
type crashReport struct {
	srv     *Server
	id      string
	req     marks.Request
	names   []string
	service string
	ent     stock.Entry
}

// checked reports a server that refuses new connections at once, whether this instance seems
// to reach others or not: if it is the path that refuses them, the server answers others
// later. A server that takes connections may have crashed and started again; so may one that
// can't be reached, unless the path is lost.
func (rpt *crashReport) checked(ended bool) {
	if ended {
		rpt.report(true)
		return
	}
	rpt.srv.clk.StartWatchdog(crashCheckTime, func() {
		if !rpt.srv.poo.NoPathTo(rpt.service, rpt.ent.Address) {
			rpt.report(false)
			return
		}
		rpt.srv.gau.Count("crash-checks", "no-path")
		rpt.srv.log.Log("crash-not-counted", lines.Fields{"id": rpt.id, "server": rpt.ent.Start(), "print": uint64(rpt.req.Whole()), "reason": "no-path"})
	})
}

func (rpt *crashReport) report(ended bool) {
	result := "closed"
	if ended {
		result = "ended"
	}
	rpt.srv.gau.Count("crash-checks", result)
	rpt.srv.ctl.Crashed(rpt.req, rpt.names, rpt.ent.Start(), ended)
}
