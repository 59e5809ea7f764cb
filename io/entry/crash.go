package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/call"
	"lovagestream/core/marks"
	"lovagestream/core/stock"
	"lovagestream/io/conns"
	"lovagestream/io/lines"
)

// crashCheckTime is how long a lost connection may turn out to be one of this instance's
// path, before it counts against the request. Trial connections to the server and to two
// others take less.
const crashCheckTime = 700 * time.Millisecond

// checkMarks returns a *marks.RefusedError if requests like this one crash servers.
func (arq *activeRequest) checkMarks() error {
	if arq.srv.ctl.View().Marks.Refused(arq.srv.clk.Now(), arq.fpr) {
		return &marks.RefusedError{Fingerprint: arq.fpr}
	}
	return nil
}

// reportCrash reports a server that closed the connection with the request in
// flight, unless the request was canceled.
func (arq *activeRequest) reportCrash(ctx context.Context, ent stock.Entry, err error) {
	if ctx.Err() != nil || !conns.ServerClosed(err) {
		return
	}
	rpt := &crashReport{srv: arq.srv, id: arq.req.ID, fpr: arq.fpr, service: arq.service, ent: ent}
	var end *call.EndedError
	if errors.As(err, &end) {
		rpt.report(true)
		return
	}
	arq.srv.poo.CheckPath(arq.service, ent.Address)
	arq.srv.poo.CheckEnded(arq.service, ent.Address, rpt.checked)
}

// soundAfter is how long after its first event a stream shows that its request crashes no
// servers.
const soundAfter = 500 * time.Millisecond

// reportSound reports that the request was answered, if crashes count against it.
func (arq *activeRequest) reportSound() {
	if arq.srv.ctl.View().Marks.Suspected(arq.fpr) {
		arq.srv.ctl.Sound(arq.fpr)
	}
}

// crashReport is the report of a server that may have crashed under a request.
type crashReport struct {
	srv     *Server
	id      string
	fpr     marks.Fingerprint
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
		rpt.srv.log.Log("crash-not-counted", lines.Fields{"id": rpt.id, "server": rpt.ent.Start(), "print": uint64(rpt.fpr), "reason": "no-path"})
	})
}

func (rpt *crashReport) report(ended bool) {
	result := "closed"
	if ended {
		result = "ended"
	}
	rpt.srv.gau.Count("crash-checks", result)
	rpt.srv.ctl.Crashed(rpt.fpr, rpt.ent.Start(), ended)
}
