package conns

import (
	"context"
	"io"
	"time"
)

const (
	// maxDiscarded and discardTimeout bound the reading of a body that isn't used. Beyond
	// them a new connection costs less.
	maxDiscarded   = 16 << 10
	discardTimeout = 250 * time.Millisecond
)

// Discard ends a response whose body isn't used. It returns at once: what is left of the body
// is read in the background, within bounds, so that the connection can be used again.
func (rep *Reply) Discard() {
	if rep.remote == nil && (rep.single || rep.ResponseHead.Closing || rep.Length > maxDiscarded) {
		rep.Close()
		return
	}
	if rep.remote == nil && rep.Length >= 0 && int64(rep.con.rdr.Buffered()) >= rep.Length {
		_, _ = io.Copy(io.Discard, rep)
		rep.Close()
		return
	}
	rep.discarded = true
	if rep.remote == nil && !rep.stopCloser() {
		rep.poo.discard(rep.con)
		return
	}
	rep.poo.grp.Go(func(context.Context) error {
		dog := rep.poo.clk.StartWatchdog(discardTimeout, rep.abort)
		_, _ = io.CopyN(io.Discard, rep, maxDiscarded)
		dog.Stop()
		rep.end()
		return nil
	})
}
