package back

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lovagestream/io/stage"
)

// plainRequest is the body of a plain call.
type plainRequest struct {
	Inputs []stage.Input `json:"inputs"`
}

// plainAnswer is the answer to a plain call.
type plainAnswer struct {
	ID     string          `json:"id"`
	Output json.RawMessage `json:"output"`
	Usage  stage.Usage     `json:"usage"`
	Load   LoadBody        `json:"load"`
}

func (srv *Server) call(wri http.ResponseWriter, req *http.Request) {
	call := req.Header.Get(stage.HeaderCall)
	var bod plainRequest
	if !srv.readCall(wri, req, &bod) {
		return
	}
	srv.setHeaders(wri, call)
	if !srv.enqueue() {
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case srv.slots <- struct{}{}:
	case <-req.Context().Done():
		srv.dequeue()
		return
	}
	run := srv.jrn.begin(call)
	length := srv.callTime(bod.Inputs)
	// A plain server runs each call that it started to the end, even after
	// the client has disconnected.
	err := srv.execute(length)
	srv.dequeue()
	<-srv.slots
	wrk := Work{busyTime: length}
	if err != nil {
		srv.jrn.end(run, false, true, wrk)
		return
	}
	completed := srv.writeAnswer(wri, req, call, bod.Inputs)
	srv.jrn.end(run, completed, !completed, wrk)
}

// enqueue counts a call, or reports false if the queue is full.
func (srv *Server) enqueue() bool {
	srv.plainMu.Lock()
	defer srv.plainMu.Unlock()
	if srv.queued >= srv.mod.plainSlots+srv.mod.plainQueue {
		return false
	}
	srv.queued++
	return true
}

func (srv *Server) dequeue() {
	srv.plainMu.Lock()
	defer srv.plainMu.Unlock()
	srv.queued--
}

// callTime returns how long a call takes. It varies with the inputs, not at
// random, so that runs with the same seed agree.
func (srv *Server) callTime(inputs []stage.Input) time.Duration {
	length := float64(srv.mod.perCall) / srv.swi.speed()
	if srv.mod.varyByInput {
		const steps = 1 << 16
		length *= 0.5 + float64(digest(inputs)%steps)/steps
	}
	return time.Duration(length)
}

func (srv *Server) execute(length time.Duration) error {
	ctx := context.Background()
	if err := wait(ctx, length); err != nil {
		return err
	}
	return srv.swi.waitUnfrozen(ctx)
}

func (srv *Server) writeAnswer(wri http.ResponseWriter, req *http.Request, call string, inputs []stage.Input) bool {
	tokens := 0
	for _, inp := range inputs {
		tokens += tokensOf(string(inp.Data))
	}
	rep := plainAnswer{
		ID:     srv.swi.replyID(call),
		Output: Output(inputs),
		Usage:  stage.Usage{PromptTokens: tokens},
		Load:   srv.plainLoad(),
	}
	if got := srv.swi.swapAnswer(rep); got.ID != rep.ID {
		rep = got
		wri.Header().Set(stage.HeaderCall, rep.ID)
	}
	raw, err := json.Marshal(rep)
	if err != nil {
		return false
	}
	out := newReplyWriter(req.Context(), srv.swi, wri)
	ctl := srv.swi.get()
	switch {
	case ctl.Garbage:
		raw = []byte(`{"id": }not json`)
	case ctl.Duplicate:
		raw = append(raw, raw...)
	case ctl.Endless:
		return srv.writeEndless(out, raw)
	}
	wri.Header().Set("Content-Type", "application/json")
	return out.write(raw) && out.flush() && req.Context().Err() == nil
}

// writeEndless repeats the reply until the client disconnects.
func (srv *Server) writeEndless(out *replyWriter, raw []byte) bool {
	for out.write(raw) && out.flush() {
		if wait(out.ctx, time.Millisecond) != nil {
			break
		}
	}
	return false
}

func (srv *Server) plainLoad() LoadBody {
	srv.plainMu.Lock()
	defer srv.plainMu.Unlock()
	running := len(srv.slots)
	return LoadBody{Running: running, Waiting: max(0, srv.queued-running)}
}
