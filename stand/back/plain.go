package back

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lovagestream/io/stage"
)

// callRequest is what a plain server reads of a call.
type callRequest struct {
	Inputs []stage.Input `json:"inputs"`
}

// callAnswer is what it answers.
type callAnswer struct {
	ID     string          `json:"id"`
	Output json.RawMessage `json:"output"`
	Usage  stage.Usage     `json:"usage"`
	Load   LoadBody        `json:"load"`
}

func (srv *Server) call(wri http.ResponseWriter, req *http.Request) {
	call := req.Header.Get(stage.HeaderCall)
	var bod callRequest
	if !srv.open(wri, req, &bod) {
		return
	}
	srv.header(wri, call)
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
	length := srv.length(bod.Inputs)
	// A plain server carries a call that it began to its end, whether the
	// other side still listens or not.
	err := srv.serve(length)
	srv.dequeue()
	<-srv.slots
	wrk := Work{busy: length}
	if err != nil {
		srv.jrn.end(run, false, true, wrk)
		return
	}
	whole := srv.answer(wri, req, call, bod.Inputs)
	srv.jrn.end(run, whole, !whole, wrk)
}

// enqueue counts a call in, unless the queue is full.
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

// length is how long a call takes: by its inputs, so that a seed fixes it.
func (srv *Server) length(inputs []stage.Input) time.Duration {
	length := float64(srv.mod.perCall) / srv.swi.speed()
	if srv.mod.spread {
		const steps = 1 << 16
		length *= 0.5 + float64(digest(inputs)%steps)/steps
	}
	return time.Duration(length)
}

func (srv *Server) serve(length time.Duration) error {
	ctx := context.Background()
	if err := wait(ctx, length); err != nil {
		return err
	}
	return srv.swi.thawed(ctx)
}

func (srv *Server) answer(wri http.ResponseWriter, req *http.Request, call string, inputs []stage.Input) bool {
	tokens := 0
	for _, inp := range inputs {
		tokens += tokensOf(string(inp.Data))
	}
	rep := callAnswer{
		ID:     srv.swi.label(call),
		Output: Output(inputs),
		Usage:  stage.Usage{PromptTokens: tokens},
		Load:   srv.plainLoad(),
	}
	if got := srv.swi.swap(rep); got.ID != rep.ID {
		rep = got
		wri.Header().Set(stage.HeaderCall, rep.ID)
	}
	raw, err := json.Marshal(rep)
	if err != nil {
		return false
	}
	out := newReply(req.Context(), srv.swi, wri)
	ctl := srv.swi.get()
	switch {
	case ctl.Garbage:
		raw = []byte(`{"id": }not json`)
	case ctl.Duplicate:
		raw = append(raw, raw...)
	case ctl.Endless:
		return srv.endless(out, raw)
	}
	wri.Header().Set("Content-Type", "application/json")
	return out.write(raw) && out.flush() && req.Context().Err() == nil
}

// endless goes on writing until the other end gives up.
func (srv *Server) endless(out *replier, raw []byte) bool {
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
