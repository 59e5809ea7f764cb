package back

import (
	"context"
	"net/http"
)

// replyWriter writes a reply and applies the switches that break replies.
type replyWriter struct {
	swi *switches
	wri http.ResponseWriter
	ctl *http.ResponseController
	ctx context.Context
	// written is the number of bytes written.
	written int
}

func newReplyWriter(ctx context.Context, swi *switches, wri http.ResponseWriter) *replyWriter {
	return &replyWriter{swi: swi, wri: wri, ctl: http.NewResponseController(wri), ctx: ctx}
}

// write waits while the server is frozen, stalls the reply at SilentAfter
// bytes, and reports whether all bytes were written.
func (rep *replyWriter) write(buf []byte) bool {
	if rep.swi.waitUnfrozen(rep.ctx) != nil {
		return false
	}
	if limit := rep.swi.get().SilentAfter; limit > 0 && rep.written+len(buf) > limit {
		return rep.goSilent(buf, limit)
	}
	rep.written += len(buf)
	_, err := rep.wri.Write(buf)
	return err == nil
}

// goSilent writes the bytes below the limit and then holds the connection open
// without writing until the client gives up.
func (rep *replyWriter) goSilent(buf []byte, limit int) bool {
	if left := limit - rep.written; left > 0 {
		_, _ = rep.wri.Write(buf[:left])
		_ = rep.ctl.Flush()
	}
	<-rep.ctx.Done()
	return false
}

func (rep *replyWriter) flush() bool { return rep.ctl.Flush() == nil }
