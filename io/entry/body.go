package entry

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/lines"
)

// restTime is for the rest of a body that is refused: some round trips of a
// far caller.
const restTime = time.Second

// body reads a request's body, and one byte over the limit of one that is too
// large. If it can't be read to its end, the caller is told why, or nothing if
// it broke off, and ok is false.
//
// It must come within the caller's own patience. A caller that sends it drop
// by drop would else hold its buffer, and a planned stop, without end.
func (vis *visit) body(htr *http.Request, most int64) (body []byte, ok bool) {
	wait := defaultTimeout
	if vis.req.Patience > 0 {
		wait = min(wait, vis.req.Patience)
	}
	var late atomic.Bool
	ctl := http.NewResponseController(vis.wri)
	dog := vis.srv.clk.Watch(wait, func() {
		late.Store(true)
		_ = ctl.SetReadDeadline(vis.srv.clk.Now())
	})
	body, err := io.ReadAll(io.LimitReader(htr.Body, most+1))
	dog.Stop()
	switch {
	case late.Load():
		return nil, vis.sever(http.StatusRequestTimeout, "body-too-slow", err)
	case err == nil:
		return body, true
	case brokeOff(err):
		vis.srv.jou.Note("request-unread", lines.Fields{"id": vis.req.ID, "error": err.Error()})
		panic(http.ErrAbortHandler)
	}
	return nil, vis.sever(http.StatusBadRequest, "malformed-body", err)
}

// brokeOff tells a connection that ended in a body from a body that is
// malformed. One that ended in the trailer counts as malformed: the HTTP server
// doesn't tell, and a caller that left isn't there to be told.
func brokeOff(err error) bool {
	var nerr net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &nerr)
}

// sever denies a request whose body was not read to its end. The connection ends
// with the answer: what comes on it is the rest of that body, and would be
// taken for the next request.
func (vis *visit) sever(status int, reason string, err error) bool {
	vis.boundRest()
	vis.wri.Header().Set("Connection", "close")
	return vis.deny(status, reason, err)
}

// boundRest bounds the reading of what is left of a body that is refused.
// Around the answer, the HTTP server reads on so that a caller which still
// sends isn't reset before it has read the answer; without a bound, one that
// sends nothing more would hold the connection there.
func (vis *visit) boundRest() {
	_ = http.NewResponseController(vis.wri).SetReadDeadline(vis.srv.clk.Now().Add(restTime))
}
