package back

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestream/io/stage"
)

// completion is the body of a completion call, as far as an engine reads it.
type completion struct {
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Priority   int    `json:"priority"`
	ResumeFrom int    `json:"resume_from"`
	ResumeText string `json:"resume_text"`
}

func (srv *Server) complete(wri http.ResponseWriter, req *http.Request) {
	call := req.Header.Get(stage.HeaderCall)
	var bod completion
	if !srv.readCall(wri, req, &bod) {
		return
	}
	text := bod.Prompt + bod.ResumeText
	seq := &sequence{
		call:         call,
		priority:     bod.Priority,
		blocks:       blocksOf(text),
		promptTokens: tokensOf(text),
		maxTokens:    bod.MaxTokens,
		nextOffset:   bod.ResumeFrom,
	}
	srv.setHeaders(wri, call)
	run := srv.jrn.begin(call)
	if !srv.eng.submit(seq) {
		srv.jrn.end(run, false, false, Work{})
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	stm := newStream(req.Context(), srv, wri, seq, xxhash.Sum64String(bod.Prompt), bod.ResumeFrom)
	completed := stm.writeAll()
	srv.eng.remove(seq)
	srv.jrn.end(run, completed, !completed, srv.eng.progress(seq).work)
}

// stream writes one completion as server-sent events.
type stream struct {
	srv        *Server
	out        *replyWriter
	ctx        context.Context
	seq        *sequence
	promptHash uint64
	nextOffset int
	// id is the quoted call ID that each event carries.
	id string
	// loadSent is set once a load report was sent.
	loadSent bool
	buf      []byte
}

func newStream(ctx context.Context, srv *Server, wri http.ResponseWriter, seq *sequence, sum uint64, next int) *stream {
	wri.Header().Set("Content-Type", "text/event-stream")
	return &stream{
		srv:        srv,
		out:        newReplyWriter(ctx, srv.swi, wri),
		ctx:        ctx,
		seq:        seq,
		promptHash: sum,
		nextOffset: next,
		id:         strconv.Quote(srv.swi.replyID(seq.call)),
	}
}

// writeAll streams tokens as they are generated, and reports whether the stream
// was written to its end.
func (stm *stream) writeAll() bool {
	if !stm.out.flush() {
		return false
	}
	tic := time.NewTicker(stm.srv.mod.keepAlive)
	defer tic.Stop()
	for {
		select {
		case <-stm.ctx.Done():
			return false
		case <-tic.C:
			if stm.srv.eng.progress(stm.seq).work.generatedTokens == 0 && !stm.writeComment() {
				return false
			}
		case <-stm.seq.changed:
			pro := stm.srv.eng.progress(stm.seq)
			if !stm.writeTokens(pro.nextOffset) {
				return false
			}
			if pro.done {
				return stm.nextOffset >= stm.seq.maxTokens && stm.writeEnd(pro.work)
			}
		}
	}
}

func (stm *stream) writeComment() bool {
	return stm.out.write([]byte(": no token yet\n\n")) && stm.out.flush()
}

// writeTokens writes the tokens generated since its last call.
func (stm *stream) writeTokens(made int) bool {
	if stm.nextOffset >= made {
		return true
	}
	for ; stm.nextOffset < made; stm.nextOffset++ {
		evt := stm.formatEvent()
		if !stm.out.write(evt) {
			return false
		}
		if stm.srv.swi.get().Duplicate && !stm.out.write(evt) {
			return false
		}
	}
	return stm.out.flush()
}

// formatEvent formats one token's event without encoding/json: benchmarks stream
// tens of thousands of tokens a second in the process that they measure.
func (stm *stream) formatEvent() []byte {
	if stm.srv.swi.get().Garbage {
		return append(stm.buf[:0], "data: {\"id\": }not json\n\n"...)
	}
	buf := append(stm.buf[:0], `data: {"id":`...)
	buf = append(buf, stm.id...)
	buf = append(buf, `,"offset":`...)
	buf = strconv.AppendInt(buf, int64(stm.nextOffset), 10)
	buf = append(buf, `,"choices":[{"index":0,"text":"`...)
	buf = append(buf, tokenOf(stm.promptHash, stm.nextOffset)...)
	buf = append(buf, `","finish_reason":null}]`...)
	if !stm.loadSent {
		buf = stm.appendLoad(buf)
		stm.loadSent = true
	}
	stm.buf = append(buf, "}\n\n"...)
	return stm.buf
}

func (stm *stream) appendLoad(buf []byte) []byte {
	rep := stm.srv.eng.loadReport(time.Now())
	buf = append(buf, `,"load":{"running":`...)
	buf = strconv.AppendInt(buf, int64(rep.Running), 10)
	buf = append(buf, `,"waiting":`...)
	buf = strconv.AppendInt(buf, int64(rep.Waiting), 10)
	buf = append(buf, `,"age_ms":`...)
	buf = strconv.AppendInt(buf, rep.AgeMillis, 10)
	return append(buf, '}')
}

// writeEnd writes the usage event and the end marker.
func (stm *stream) writeEnd(wrk Work) bool {
	buf := append(stm.buf[:0], `data: {"id":`...)
	buf = append(buf, stm.id...)
	buf = append(buf, `,"choices":[],"usage":{"prompt_tokens":`...)
	buf = strconv.AppendInt(buf, int64(stm.seq.promptTokens), 10)
	buf = append(buf, `,"completion_tokens":`...)
	buf = strconv.AppendInt(buf, int64(wrk.generatedTokens), 10)
	buf = append(buf, `,"cached_tokens":`...)
	buf = strconv.AppendInt(buf, int64(wrk.cachedTokens), 10)
	buf = stm.appendLoad(append(buf, '}'))
	stm.buf = append(buf, "}\n\ndata: [DONE]\n\n"...)
	return stm.out.write(stm.buf) && stm.out.flush()
}
