package entry

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/call"
	"lovagestream/core/event"
	"lovagestream/core/place"
	"lovagestream/core/sched"
	"lovagestream/core/stock"
	"lovagestream/io/conns"
	"lovagestream/io/lines"
	"lovagestream/io/trace"
)

// serveGenerate serves a request of a model service: its stages run first, then
// its answer comes from an engine.
func (arq *activeRequest) serveGenerate(ctx context.Context) {
	spc := arq.spec()
	stm := &stream{arq: arq}
	defer stm.release()
	last := sendResult{outcome: outcome{reason: "no-verdict"}}
	decision := arq.srv.ctl.Submit(spc)
	for range maxSends {
		_, spn := trace.Start(ctx, "stages")
		dec, ok := arq.awaitDecision(ctx, decision)
		spn.End(ctx.Err())
		if !ok {
			break
		}
		arq.logDecision(dec)
		if dec.Outcome != sched.Placed {
			arq.answerUnplaced(stm, dec)
			return
		}
		mov := arq.watchSend(ctx, stm, spc, dec)
		last = arq.sendToEngine(mov.ctx, stm, mov, dec)
		if next := mov.end(); next != nil {
			arq.adoptRetry()
			spc.Avoid, spc.Retry = append(spc.Avoid, dec.Server.ID), true
			decision = next
			continue
		}
		if stm.complete || ctx.Err() != nil {
			break
		}
		arq.srv.log.Log("send-failed", lines.Fields{"id": arq.req.ID, "server": dec.Server.ID, "reason": last.reason, "ran": last.mayHaveRun, "error": text(last.err), "again": last.retryable, "events": stm.events.Count()})
		if mov.refused {
			last.reason, last.engineOutcome = reasonCrashes, place.Done
			break
		}
		if !last.retryable || last.mayHaveRun && arq.attempts >= arq.rou.MaxAttempts || arq.deadline.Sub(arq.srv.clk.Now()) < minRemaining {
			break
		}
		if arq.checkMarks() != nil {
			last.reason = reasonCrashes
			break
		}
		if !arq.reserveRetry() {
			last.reason += "," + reasonNoRetries
			break
		}
		spc.Avoid = append(spc.Avoid, dec.Server.ID)
		spc.Retry, spc.Version = true, arq.stream.Version
		decision = arq.srv.ctl.Retry(spc, last.engineOutcome, last.reason == reasonInputGone)
	}
	if ctx.Err() != nil {
		last.engineOutcome = place.Done
	}
	arq.srv.ctl.Ended(arq.req.ID, last.engineOutcome)
	arq.endStream(ctx, stm, last.outcome)
}

// logDecision logs the coordinator's decision and the estimate behind it. Times
// are in milliseconds.
func (arq *activeRequest) logDecision(dec sched.Decision) {
	fie := lines.Fields{"id": arq.req.ID, "word": dec.Outcome.String(), "waited": arq.srv.clk.Now().Sub(arq.arrived).Milliseconds()}
	if dec.Outcome == sched.Placed {
		fie["server"] = dec.Server.ID
		fie["inputs"] = len(dec.Inputs)
		fie["why"] = dec.Reason
	} else {
		fie["reason"] = dec.Reason
		fie["after"] = dec.RetryAfter.Milliseconds()
		fie["expected"] = dec.Estimate.Milliseconds()
		fie["allowed"] = dec.Allowed.Milliseconds()
	}
	if dec.Standing.Resource != "" {
		arq.standing = dec.Standing
		maps.Copy(fie, StandingFields(dec.Standing))
	}
	arq.srv.log.Log("verdict", fie)
}

// sendResult is how one send to an engine ended, and the outcome that is reported
// to the engine's pool.
type sendResult struct {
	outcome
	engineOutcome place.Outcome
}

// reasonInputGone is the reason if an engine reports that an input no longer
// exists.
const reasonInputGone = "input-gone"

// awaitDecision waits for the coordinator's decision. It withdraws the request
// if ctx ends first, and refuses it if it would outlast a planned stop.
func (arq *activeRequest) awaitDecision(ctx context.Context, decision <-chan sched.Decision) (sched.Decision, bool) {
	var stop <-chan struct{}
	if arq.attempts == 0 {
		stop = arq.srv.stop.waitsOver
	}
	for {
		select {
		case dec := <-decision:
			return dec, true
		case <-stop:
			if stop = nil; !arq.mayOutlastStop() {
				continue
			}
			arq.srv.ctl.Withdraw(arq.req.ID)
			return sched.Decision{Outcome: sched.Refused, Reason: reasonStopping, RetryAfter: stoppingRetryAfter}, true
		case <-ctx.Done():
			arq.srv.ctl.Withdraw(arq.req.ID)
			return sched.Decision{}, false
		}
	}
}

// answerUnplaced answers a request that got no engine.
func (arq *activeRequest) answerUnplaced(stm *stream, dec sched.Decision) {
	switch {
	case stm.headSent:
		arq.abort("no-engine-to-resume,"+dec.Reason, nil)
	case dec.Outcome == sched.Refused && arq.attempts == 0:
		arq.refuse(dec.Reason, dec.RetryAfter)
	default:
		arq.fail(http.StatusGatewayTimeout, dec.Reason, nil)
	}
}

// endStream ends the answer to the caller after the last send.
func (arq *activeRequest) endStream(ctx context.Context, stm *stream, last outcome) {
	switch {
	case stm.complete:
		arq.finish(stm.status, "answered", nil)
	case stm.headSent && ctx.Err() != nil && !arq.stopped.Load() && arq.srv.clk.Now().Before(arq.deadline):
		arq.finish(499, "caller-left", nil)
		panic(http.ErrAbortHandler)
	case stm.headSent:
		arq.abort(last.reason, last.err)
	default:
		arq.answerUnserved(ctx, last)
	}
}

// abort closes the caller's connection, so that the caller sees that the answer
// is incomplete.
func (arq *activeRequest) abort(reason string, err error) {
	arq.finish(http.StatusBadGateway, "cut,"+reason, err)
	panic(http.ErrAbortHandler)
}

// sendToEngine sends the request to the chosen engine and relays the response.
func (arq *activeRequest) sendToEngine(ctx context.Context, stm *stream, mov *mover, dec sched.Decision) sendResult {
	ent := dec.Server
	if arq.srv.ctl.View().Unusable[ent.ID] {
		return sendResult{outcome{retryable: true, reason: "server-left"}, place.WrongServer}
	}
	if arq.deadline.Sub(arq.srv.clk.Now()) < minRemaining {
		return sendResult{outcome{reason: "no-time-left"}, place.Done}
	}
	if err := arq.checkMarks(); err != nil {
		out, _ := notSent(&conns.SendError{Address: ent.Address, Cause: err})
		return sendResult{out, place.Done}
	}
	if !arq.mayServe(ent) {
		return sendResult{outcome{retryable: true, unsent: true, reason: reasonOtherVersion}, place.Done}
	}
	repeatable := !arq.rou.AtMostOnce()
	ext := arq.forwardMetadata(ent.ID)
	ext.Inputs, ext.HasInputs = dec.Inputs, len(arq.rou.Stages) > 0
	ext.LastEventID = stm.events.LastID()
	rep, err := arq.sendTo(ctx, ent, ext)
	if out, ok := notSent(err); ok {
		return sendResult{out, unansweredOutcome(out)}
	}
	arq.attempts++
	if err != nil {
		arq.reportCrash(ctx, ent, err, time.Time{})
		out := noResponse(err, repeatable)
		return sendResult{out, unansweredOutcome(out)}
	}
	defer rep.Close()
	if !mov.begin() {
		return sendResult{outcome{retryable: true, mayHaveRun: true, reason: "moved"}, place.Done}
	}
	if out, failed := arq.checkResponse(ent, rep); failed {
		if out.reason == reasonServerRefused && rep.ResponseHead.Status == http.StatusConflict {
			out.reason = reasonInputGone
		}
		out.retryable = out.retryable || repeatable
		return sendResult{out, arq.responseOutcome(rep)}
	}
	if stm.headSent && rep.ResponseHead.Status != http.StatusOK {
		return sendResult{outcome{retryable: repeatable, mayHaveRun: true, reason: "resume-failed"}, place.Failed}
	}
	if rep.ResponseHead.Status >= http.StatusInternalServerError && repeatable && arq.attempts < arq.rou.MaxAttempts {
		return sendResult{outcome{retryable: true, mayHaveRun: true, reason: "server-error"}, place.Failed}
	}
	out, how := stm.relay(ctx, ent, rep)
	return sendResult{out, how}
}

// responseOutcome returns the outcome that is reported to the pool for an engine
// that refused the request or gave an invalid response.
func (arq *activeRequest) responseOutcome(rep *conns.Reply) place.Outcome {
	switch {
	case rep.ResponseHead.Status == http.StatusConflict:
		// An input no longer exists; the engine is healthy.
		return place.Done
	case rep.ResponseHead.Status == http.StatusMisdirectedRequest:
		return place.WrongServer
	case rep.ResponseHead.NotRun:
		return place.Full
	}
	return place.Failed
}

// stream is the answer to one caller, from one engine or from several in
// succession.
type stream struct {
	arq *activeRequest
	// rep is the response of the last engine. headSent is set once the head of one was sent
	// to the caller, with the first bytes of its body: until then the request can be answered
	// otherwise.
	rep      *conns.Reply
	headSent bool
	complete bool
	status   int
	// events scans the events of a stream that can be resumed.
	events event.Scanner
	// partial holds the bytes of an incomplete event, reserved how many bytes are reserved
	// for it.
	partial  []byte
	reserved int64
}

const (
	// readBufferSize is the size of a read from a stream, in bytes.
	readBufferSize = 4 << 10
	// maxEventSize is the maximum size of one event, in bytes. Beyond freeEventSize it is
	// kept in the memory that all responses share, reserved in steps.
	maxEventSize  = 1 << 20
	freeEventSize = 16 << 10
	reserveStep   = 64 << 10
)

// relay forwards an engine's response to the caller.
func (stm *stream) relay(ctx context.Context, ent stock.Entry, rep *conns.Reply) (outcome, place.Outcome) {
	arq := stm.arq
	stm.rep = rep
	if !stm.headSent {
		stm.status = rep.ResponseHead.Status
	}
	// If the stream can be resumed on another engine, only complete events are
	// forwarded, so that the resumed stream continues right after them.
	resumable := rep.ResponseHead.EventStream && arq.rou.Resumable && rep.ResponseHead.Status == http.StatusOK
	stm.release()
	stm.events.Restart()
	flush := http.NewResponseController(arq.wri)
	buf := make([]byte, readBufferSize)
	first, sound := true, false
	var begun time.Time
	for {
		num, err := rep.Read(buf)
		if num > 0 {
			if first {
				first, begun = false, arq.srv.clk.Now()
				arq.srv.ctl.Began(arq.req.ID)
				arq.recordFirstEvent(ent)
			}
			if !sound && stm.status == http.StatusOK && arq.srv.clk.Now().Sub(begun) >= soundAfter {
				sound = true
				arq.reportSound(false)
			}
			if perr := stm.forward(ent, buf[:num], resumable); perr != nil {
				return stm.forwardFailed(perr, resumable)
			}
			if stm.headSent {
				_ = flush.Flush()
			}
		}
		if errors.Is(err, io.EOF) && first && stm.needsEvent(rep) {
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			if !first && stm.status == http.StatusOK {
				arq.reportSound(true)
			}
			return stm.endOfStream()
		}
		if err != nil {
			if ctx.Err() == nil {
				arq.reportCrash(ctx, ent, err, begun)
			}
			return outcome{retryable: stm.mayGoOn(resumable), mayHaveRun: true, reason: "stream-broke", err: err}, place.Failed
		}
	}
}

// mayGoOn reports whether the stream may go on at another engine.
func (stm *stream) mayGoOn(resumable bool) bool {
	return resumable && stm.events.Resumable() && !stm.arq.uncertain
}

// forwardFailed returns the outcome of a response of which bytes could not be forwarded.
func (stm *stream) forwardFailed(err error, resumable bool) (outcome, place.Outcome) {
	out := outcome{retryable: stm.mayGoOn(resumable), mayHaveRun: true, err: err}
	var bnd *call.BoundError
	var mem *conns.MemoryError
	switch {
	case errors.As(err, &bnd):
		out.reason = reasonTooLong
		return out, place.Failed
	case errors.As(err, &mem):
		out.reason = reasonNoMemory
		return out, place.Done
	}
	return outcome{mayHaveRun: true, reason: "caller-left", err: err}, place.Done
}

// sendHead sends the head of the response, unless one was sent.
func (stm *stream) sendHead() {
	if stm.headSent {
		return
	}
	stm.headSent = true
	stm.arq.copyHead(stm.rep)
	if stm.rep.Length >= 0 {
		stm.arq.wri.Header().Set("Content-Length", strconv.FormatInt(stm.rep.Length, 10))
	}
	stm.arq.wri.WriteHeader(stm.rep.ResponseHead.Status)
}

// needsEvent reports whether a response without any byte in its body is incomplete: a
// stream that begins, of which only the end of the connection says that it is over.
func (stm *stream) needsEvent(rep *conns.Reply) bool {
	goesOn := stm.events.LastID() != "" || stm.arq.req.LastEventID != ""
	return rep.EndsWithConnection() && rep.ResponseHead.EventStream && !goesOn
}

func (arq *activeRequest) recordFirstEvent(ent stock.Entry) {
	arq.srv.gau.ObserveDuration("first-event", arq.service, arq.srv.clk.Now().Sub(arq.arrived))
	arq.srv.log.Log("first-event", lines.Fields{"id": arq.req.ID, "server": ent.ID, "software": ent.Version, "took": arq.srv.clk.Now().Sub(arq.arrived).Milliseconds(), "aim": arq.target.Sub(arq.arrived).Milliseconds()})
}

// endOfStream forwards the remaining bytes and marks the stream as complete:
// the engine ended it normally.
func (stm *stream) endOfStream() (outcome, place.Outcome) {
	stm.sendHead()
	if len(stm.partial) > 0 {
		if _, err := stm.arq.wri.Write(stm.partial); err != nil {
			return outcome{mayHaveRun: true, reason: "caller-left", err: err}, place.Done
		}
	}
	stm.complete = true
	return outcome{}, place.Done
}

// forward writes bytes of a server's response to the caller. Of a resumable stream it
// writes complete events only.
func (stm *stream) forward(ent stock.Entry, got []byte, resumable bool) error {
	if !resumable {
		stm.sendHead()
		_, err := stm.arq.wri.Write(got)
		return err
	}
	end := stm.events.Scan(got)
	if end == 0 {
		return stm.keep(ent, got)
	}
	if stm.events.Count() > 0 {
		stm.arq.beginStream(ent)
	}
	stm.partial = append(stm.partial, got[:end]...)
	stm.sendHead()
	if _, err := stm.arq.wri.Write(stm.partial); err != nil {
		return err
	}
	stm.partial = append(stm.partial[:0], got[end:]...)
	return nil
}

// keep keeps bytes of an incomplete event.
func (stm *stream) keep(ent stock.Entry, got []byte) error {
	size := len(stm.partial) + len(got)
	if size > maxEventSize {
		return stm.arq.srv.poo.CountBound(&call.BoundError{Part: "event", Bytes: maxEventSize})
	}
	if more := int64(size-freeEventSize) - stm.reserved; more > 0 {
		more = (more + reserveStep - 1) / reserveStep * reserveStep
		if !stm.arq.srv.poo.Memory().Reserve(more) {
			return &conns.MemoryError{Address: ent.Address, Bytes: int64(len(stm.partial))}
		}
		stm.reserved += more
	}
	stm.partial = append(stm.partial, got...)
	return nil
}

// release drops an incomplete event.
func (stm *stream) release() {
	stm.arq.srv.poo.Memory().Release(stm.reserved)
	stm.partial, stm.reserved = nil, 0
}
