package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"lovagestream/core/result"
	"lovagestream/io/clock"
	"lovagestream/io/runner"
	"lovagestream/io/stage"
)

// answerBody is the JSON body of a complete answer.
type answerBody struct {
	Request string          `json:"request-id"`
	Outcome result.Outcome  `json:"outcome"`
	Output  json.RawMessage `json:"output"`
	Stages  []costBody      `json:"stages"`
}

// costBody is the cost of one stage.
type costBody struct {
	Stage string `json:"stage"`
	// Calls counts the initial call, Retries and Hedges. Wasted counts those of
	// them whose work is not part of the answer. Migrations, the calls canceled
	// as too slow and resumed elsewhere, are not counted in Wasted.
	Calls        int         `json:"calls"`
	Retries      int         `json:"retries,omitempty"`
	Hedges       int         `json:"hedges,omitempty"`
	Migrations   int         `json:"cuts,omitempty"`
	Wasted       int         `json:"wasted"`
	BusyMS       float64     `json:"busy-ms"`
	WastedMS     float64     `json:"wasted-ms,omitempty"`
	WastedTokens int         `json:"wasted-tokens,omitempty"`
	Usage        stage.Usage `json:"usage"`
}

func millis(dur time.Duration) float64 { return float64(dur) / float64(time.Millisecond) }

func costBodies(costs []runner.Cost) []costBody {
	bods := make([]costBody, len(costs))
	for i, cst := range costs {
		bods[i] = costBody{
			Stage:        cst.Stage(),
			Calls:        cst.Calls(),
			Retries:      cst.Retries(),
			Hedges:       cst.Hedges(),
			Migrations:   cst.Migrations(),
			Wasted:       cst.Wasted(),
			BusyMS:       millis(cst.Busy()),
			WastedMS:     millis(cst.WastedBusy()),
			WastedTokens: cst.WastedTokens(),
			Usage:        cst.Usage(),
		}
	}
	return bods
}

func (srv *Server) serveJSON(wri http.ResponseWriter, hrq *http.Request, req *runner.Request) {
	ans, rfl := srv.rnr.Run(hrq.Context(), req)
	if rfl != nil {
		writeProblem(wri, req.ID(), rfl)
		return
	}
	srv.writeAnswer(wri, req.ID(), newAnswerBody(req.ID(), ans))
}

func newAnswerBody(id string, ans *runner.Answer) answerBody {
	return answerBody{Request: id, Outcome: result.Complete, Output: ans.Output(), Stages: costBodies(ans.Costs())}
}

// writeAnswer writes a complete answer. It sets Content-Length, so that a
// caller can recognize a truncated body.
func (srv *Server) writeAnswer(wri http.ResponseWriter, id string, bod answerBody) {
	raw, err := json.Marshal(bod)
	if err != nil {
		// Not expected: the output was checked to be valid JSON when it was received.
		writeProblem(wri, id, result.UnknownRefusal(result.Internal, "the answer could not be encoded"))
		return
	}
	recordOutcome(wri, result.Complete, "")
	hdr := wri.Header()
	hdr.Set("Content-Type", mediaJSON)
	hdr.Set("Content-Length", strconv.Itoa(len(raw)))
	hdr.Set(HeaderRequestID, id)
	hdr.Set(HeaderOutcome, string(result.Complete))
	ctl := http.NewResponseController(wri)
	_ = ctl.SetWriteDeadline(srv.clk.Now().Add(srv.opt.writeTimeout))
	defer func() { _ = ctl.SetWriteDeadline(time.Time{}) }()
	// A failed write means that the caller left. The outcome stays complete
	// here, and is unknown to the caller, whose body is truncated.
	_, _ = wri.Write(raw)
	_ = ctl.Flush()
}

// The event types of a stream. A stream without an end event is incomplete.
var (
	eventToken   = sse.Type("token")
	eventEnd     = sse.Type("end")
	eventProblem = sse.Type("problem")
)

// tokenBody is the data of a token event.
type tokenBody struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// endBody is the data of the event that ends a complete stream. Length, in
// bytes, and digest cover the text of all token events, so that a caller can
// check that none was lost.
type endBody struct {
	Request string          `json:"request-id"`
	Outcome result.Outcome  `json:"outcome"`
	Tokens  int             `json:"tokens"`
	Length  int             `json:"length"`
	Digest  string          `json:"sha256"`
	Output  json.RawMessage `json:"output,omitempty"`
	Stages  []costBody      `json:"stages"`
}

// minFlushInterval is the least time between two flushes of one stream. Tokens
// that arrive faster, from a resumed stream or a very fast engine, are written
// together: at tens of thousands a second, one network write each would take
// most of a core. The usual time between two tokens is far longer.
const minFlushInterval = time.Millisecond

// streamer writes the server-sent events of one response. The status line is
// sent with the first event, so that an earlier refusal has its own status.
//
// Without a deadline, a write to a caller that stopped reading would block and
// hold the stream and its backend work indefinitely. Each write has a deadline;
// its error ends the stage's call, which is then canceled at the engine.
type streamer struct {
	wri          http.ResponseWriter
	ctl          *http.ResponseController
	clk          clock.Service
	id           string
	writeTimeout time.Duration

	// mu guards the fields below: deferred flushes run on the timer service.
	mu      sync.Mutex
	started bool
	// closed is set before the handler returns; no flush may follow it.
	closed bool
	// flushPending is set while a deferred flush is scheduled.
	flushPending bool
	dog          clock.Watchdog
	lastFlush    time.Time
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
	// err is the first failure of a flush.
	err    error
	buf    bytes.Buffer
	tokens int
	length int
	sum    hash.Hash
}

func (srv *Server) serveStream(wri http.ResponseWriter, hrq *http.Request, req *runner.Request) {
	str := srv.newStreamer(wri, req.ID())
	defer str.close()
	ans, rfl := srv.rnr.Run(hrq.Context(), req.WithSink(str.writeToken))
	if rfl != nil {
		str.writeRefusal(rfl)
		return
	}
	str.writeEnd(newAnswerBody(req.ID(), ans))
}

func (srv *Server) newStreamer(wri http.ResponseWriter, id string) *streamer {
	return &streamer{wri: wri, ctl: http.NewResponseController(wri), clk: srv.clk, id: id, writeTimeout: srv.opt.writeTimeout, sum: sha256.New()}
}

// close ends the stream. It clears the write deadline, which must not apply to
// the next request on the connection.
func (str *streamer) close() {
	str.mu.Lock()
	defer str.mu.Unlock()
	str.closed = true
	if str.dog != nil {
		str.dog.Stop()
	}
	_ = str.ctl.SetWriteDeadline(time.Time{})
}

// writeRefusal ends a stream without a complete answer: by a problem event if
// the stream has started, else by a problem response.
func (str *streamer) writeRefusal(rfl *result.Refusal) {
	str.mu.Lock()
	started := str.started
	str.mu.Unlock()
	if started {
		recordOutcome(str.wri, rfl.Outcome(), rfl.Reason())
		_ = str.writeEvent(eventProblem, newProblem(str.id, rfl), true)
		return
	}
	writeProblem(str.wri, str.id, rfl)
}

func (str *streamer) writeToken(offset int, text string) error {
	str.tokens++
	str.length += len(text)
	str.sum.Write([]byte(text))
	return str.writeEvent(eventToken, tokenBody{Offset: offset, Text: text}, false)
}

func (str *streamer) writeEnd(ans answerBody) {
	recordOutcome(str.wri, result.Complete, "")
	bod := endBody{
		Request: ans.Request,
		Outcome: ans.Outcome,
		Tokens:  str.tokens,
		Length:  str.length,
		Digest:  hex.EncodeToString(str.sum.Sum(nil)),
		Stages:  ans.Stages,
	}
	if str.tokens == 0 {
		bod.Output = ans.Output
	}
	_ = str.writeEvent(eventEnd, bod, true)
}

// writeEvent writes one event. It flushes at once if the event is the last or
// minFlushInterval has passed since the last flush, and later otherwise.
func (str *streamer) writeEvent(typ sse.EventType, bod any, last bool) error {
	raw, err := json.Marshal(bod)
	if err != nil {
		return err
	}
	msg := &sse.Message{Type: typ}
	msg.AppendData(string(raw))
	str.mu.Lock()
	defer str.mu.Unlock()
	if str.err != nil {
		return str.err
	}
	str.startResponse()
	now := str.clk.Now()
	str.extendDeadline(now)
	str.buf.Reset()
	_, _ = msg.WriteTo(&str.buf)
	if _, err := str.wri.Write(str.buf.Bytes()); err != nil {
		return err
	}
	if last || now.Sub(str.lastFlush) >= minFlushInterval {
		return str.flush(now)
	}
	str.scheduleFlush()
	return nil
}

// startResponse sets the headers before the first event.
func (str *streamer) startResponse() {
	if str.started {
		return
	}
	str.started = true
	hdr := str.wri.Header()
	hdr.Set("Content-Type", mediaEventStream)
	hdr.Set("Cache-Control", "no-store")
	hdr.Set(HeaderRequestID, str.id)
}

// extendDeadline moves the write deadline, at most once in an eighth of the
// write timeout.
func (str *streamer) extendDeadline(now time.Time) {
	const fraction = 8
	if now.Sub(str.deadlineSetAt) < str.writeTimeout/fraction {
		return
	}
	str.deadlineSetAt = now
	_ = str.ctl.SetWriteDeadline(now.Add(str.writeTimeout))
}

func (str *streamer) flush(now time.Time) error {
	str.lastFlush = now
	str.err = str.ctl.Flush()
	return str.err
}

func (str *streamer) scheduleFlush() {
	if str.flushPending {
		return
	}
	str.flushPending = true
	str.dog = str.clk.StartWatchdog(minFlushInterval, func() {
		str.mu.Lock()
		defer str.mu.Unlock()
		str.flushPending = false
		if !str.closed && str.err == nil {
			now := str.clk.Now()
			str.extendDeadline(now)
			_ = str.flush(now)
		}
	})
}
