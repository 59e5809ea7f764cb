package stage_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"lovagestream/core/config"
	"lovagestream/core/route"
	"lovagestream/io/clock"
	"lovagestream/io/origin"
	"lovagestream/io/stage"
)

const configDoc = `
revision: 1
active-preset: ordinary
zones: [{name: here, region: here}]
pools:
  - {name: plain, kind: encode}
  - {name: engines, kind: generate}
  - {name: service, kind: service}
pipelines:
  - name: test
    stages:
      - {name: plain, pool: plain, inputs: [request]}
      - {name: generate, pool: engines, inputs: [plain], max-tokens: 4}
      - {name: once, pool: service, inputs: [request], repeatable: false, path: /v1/once}
client-accounts:
  - name: caller
    credential-sha256: "0000000000000000000000000000000000000000000000000000000000000000"
presets: [{name: ordinary}]
`

// fixture is a client with one backend server.
type fixture struct {
	t            *testing.T
	cli          *stage.Client
	srv          *route.Server
	pip          *config.Pipeline
	leavingCount atomic.Int64
	// cancels holds the bodies of the cancel calls received.
	mu      sync.Mutex
	cancels []string
}

func newFixture(t *testing.T, han http.HandlerFunc) *fixture {
	t.Helper()
	doc, err := config.Read("test", []byte(configDoc))
	require.NoError(t, err)
	fix := &fixture{t: t, pip: doc.Pipeline("test")}
	hts := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path != stage.PathCancel {
			han(wri, req)
			return
		}
		raw, _ := io.ReadAll(req.Body)
		fix.mu.Lock()
		defer fix.mu.Unlock()
		fix.cancels = append(fix.cancels, string(raw))
	}))
	fix.srv = route.NewServer("srv-1", hts.Listener.Addr().String(), "here", "engines")
	fix.cli = stage.NewClient(clock.System{}, origin.SourceAddr{}, func(string) { fix.leavingCount.Add(1) }).WithMaxAnswer(maxAnswer)
	t.Cleanup(func() {
		fix.cli.Close()
		hts.CloseClientConnections()
		hts.Close()
	})
	return fix
}

func (fix *fixture) call(stg int, silence time.Duration) *stage.Call {
	cal := stage.NewCall("req-1", fix.pip.Stages()[stg], 1, 77, silence)
	return cal.WithInputs([]stage.Input{{From: "request", Data: []byte(`"text"`)}})
}

func (fix *fixture) cancelCount() int {
	fix.mu.Lock()
	defer fix.mu.Unlock()
	return len(fix.cancels)
}

// result is the outcome of one call.
type result struct {
	rep    *stage.Reply
	fault  stage.Fault
	sent   int
	tokens string
}

func (fix *fixture) do(ctx context.Context, cal *stage.Call) result {
	res := result{}
	var err error
	res.rep, err = fix.cli.Do(ctx, fix.srv, cal, func() { res.sent++ }, func(_ int, text string) error {
		res.tokens += text
		return nil
	})
	var fai *stage.Error
	if errors.As(err, &fai) {
		res.fault = fai.Fault()
	}
	return res
}

// maxAnswer is above the limit on one token, so that each limit is tested alone.
const maxAnswer = 12 << 10

const (
	plainStage = iota
	generateStage
	onceStage
)

func writeHead(wri http.ResponseWriter, req *http.Request) string {
	id := req.Header.Get(stage.HeaderCall)
	wri.Header().Set(stage.HeaderCall, id)
	wri.Header().Set("Content-Type", "text/event-stream")
	return id
}

func tokenEvent(id string, offset int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"offset\":%d,\"choices\":[{\"text\":\"t%d \"}]}\n\n", id, offset, offset)
}

func streamEnding(id string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"choices\":[],\"usage\":{\"completion_tokens\":3}}\n\ndata: [DONE]\n\n", id)
}

// respond replies with a body made from the call's ID.
func respond(body func(id string) string) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		_, _ = io.WriteString(wri, body(writeHead(wri, req)))
	}
}

// respondAndAbort replies like respond and then aborts the connection.
func respondAndAbort(body func(id string) string) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		_, _ = io.WriteString(wri, body(writeHead(wri, req)))
		_ = http.NewResponseController(wri).Flush()
		panic(http.ErrAbortHandler)
	}
}

// respondUnframed replies with neither a length nor chunks, and closes the connection.
func respondUnframed(body func(id string) string) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		id := writeHead(wri, req)
		con, _, err := http.NewResponseController(wri).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\n"+stage.HeaderCall+": "+id+"\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"+body(id))
		_ = con.Close()
	}
}

// respondRaw replies with these bytes, and closes the connection once the caller has.
func respondRaw(text func(id string) string) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		con, _, err := http.NewResponseController(wri).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(con, text(req.Header.Get(stage.HeaderCall)))
		_ = con.Close()
	}
}

// plainAnswer returns a whole answer of a plain server whose head has a status line and another
// line.
func plainAnswer(status, line string) func(id string) string {
	return func(id string) string {
		body := `{"id":"` + id + `","output":[1]}`
		return fmt.Sprintf("%s\r\n%s: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, stage.HeaderCall, id, line, len(body), body)
	}
}

// respondForever writes part until the connection is closed.
func respondForever(part string) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		writeHead(wri, req)
		for {
			if _, err := io.WriteString(wri, part); err != nil {
				return
			}
		}
	}
}

// wholeStream returns the events of a complete answer to a call: tokens 0 to 2,
// the usage and the end marker.
func wholeStream(id string) string {
	return tokenEvent(id, 0) + tokenEvent(id, 1) + tokenEvent(id, 2) + streamEnding(id)
}

// A malformed or incomplete reply must fail with the matching fault. It must
// never count as an answer, and only tokens before the error may be passed on.
func TestBrokenReplies(t *testing.T) {
	type one struct {
		name   string
		stg    int
		han    http.HandlerFunc
		want   stage.Fault
		tokens string
	}
	cases := []one{
		{"whole stream", generateStage, respond(wholeStream), "", "t0 t1 t2 "},
		{"garbage event", generateStage, respond(func(id string) string { return tokenEvent(id, 0) + "data: }{\n\n" }), stage.FaultMalformed, "t0 "},
		{"clean end without the end marker", generateStage, respond(func(id string) string { return tokenEvent(id, 0) + tokenEvent(id, 1) }), stage.FaultConnLost, "t0 t1 "},
		{"broken off", generateStage, respondAndAbort(func(id string) string { return tokenEvent(id, 0) }), stage.FaultConnLost, "t0 "},
		{"broken off inside an event", generateStage, respondAndAbort(func(id string) string { return tokenEvent(id, 0) + tokenEvent(id, 1)[:20] }), stage.FaultConnLost, "t0 "},
		{"whole, ended by the connection", generateStage, respondUnframed(wholeStream), "", "t0 t1 t2 "},
		{"connection ended inside an event", generateStage, respondUnframed(func(id string) string { return tokenEvent(id, 0) + tokenEvent(id, 1)[:20] }), stage.FaultConnLost, "t0 "},
		{"connection ended before an empty line", generateStage, respondUnframed(func(id string) string { return tokenEvent(id, 0) + strings.TrimSpace(tokenEvent(id, 1)) + "\n" }), stage.FaultConnLost, "t0 "},
		{"connection ended inside the end marker", generateStage, respondUnframed(func(id string) string { return strings.TrimSuffix(wholeStream(id), "E]\n\n") }), stage.FaultConnLost, "t0 t1 t2 "},
		{"endless comments", generateStage, respondForever(": still here\n\n"), stage.FaultTooLarge, ""},
		{"endless event", generateStage, respondForever("data: more\n"), stage.FaultTooLarge, ""},
		{"endless line", generateStage, respondForever("more"), stage.FaultTooLarge, ""},
		{"token twice", generateStage, respond(func(id string) string { return tokenEvent(id, 0) + tokenEvent(id, 0) + streamEnding(id) }), stage.FaultMalformed, "t0 "},
		{"tokens swapped", generateStage, respond(func(id string) string { return tokenEvent(id, 1) + tokenEvent(id, 0) + streamEnding(id) }), stage.FaultMalformed, ""},
		{"token missing", generateStage, respond(func(id string) string { return tokenEvent(id, 0) + tokenEvent(id, 2) + streamEnding(id) }), stage.FaultMalformed, "t0 "},
		{"more tokens than asked for", generateStage, respond(func(id string) string {
			return wholeStream(id)[:3*len(tokenEvent(id, 0))] + tokenEvent(id, 3) + tokenEvent(id, 4)
		}), stage.FaultTooLarge, "t0 t1 t2 t3 "},
		{"answer over its bound", generateStage, respond(func(id string) string {
			long := ""
			for i := range 4 {
				long += strings.Replace(tokenEvent(id, i), fmt.Sprintf("t%d ", i), strings.Repeat("x", 4<<10), 1)
			}
			return long
		}), stage.FaultTooLarge, strings.Repeat("x", maxAnswer)},
		{"token over its own bound", generateStage, respond(func(id string) string {
			return strings.Replace(tokenEvent(id, 0), "t0 ", strings.Repeat("x", 5<<10), 1)
		}), stage.FaultTooLarge, ""},
		{"no usage", generateStage, respond(func(id string) string { return tokenEvent(id, 0) + "data: [DONE]\n\n" }), stage.FaultMalformed, "t0 "},
		{"another call's event", generateStage, respond(func(id string) string { return tokenEvent(id, 0) + tokenEvent("req-2/generate/1/x", 1) }), stage.FaultMismatch, "t0 "},
		{"another call's header", generateStage, func(wri http.ResponseWriter, req *http.Request) {
			wri.Header().Set(stage.HeaderCall, "req-2/generate/1/x")
			_, _ = io.WriteString(wri, wholeStream(req.Header.Get(stage.HeaderCall)))
		}, stage.FaultMismatch, ""},
		{"not an event stream", generateStage, func(wri http.ResponseWriter, req *http.Request) {
			id := writeHead(wri, req)
			wri.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(wri, wholeStream(id))
		}, stage.FaultMalformed, ""},
		{"redirect", generateStage, func(wri http.ResponseWriter, req *http.Request) {
			writeHead(wri, req)
			http.Redirect(wri, req, "/elsewhere", http.StatusFound)
		}, stage.FaultStatus, ""},
		{"endless headers", generateStage, func(wri http.ResponseWriter, req *http.Request) {
			writeHead(wri, req)
			wri.Header().Set("X-Long", strings.Repeat("x", 1<<20))
		}, stage.FaultConnLost, ""},
		{"whole reply", plainStage, respond(func(id string) string { return `{"id":"` + id + `","output":[1]}` }), "", ""},
		{"garbage reply", plainStage, respond(func(string) string { return "<html>" }), stage.FaultMalformed, ""},
		{"two replies at once", plainStage, respond(func(id string) string { return strings.Repeat(`{"id":"`+id+`","output":[1]}`, 2) }), stage.FaultMalformed, ""},
		{"reply without output", plainStage, respond(func(id string) string { return `{"id":"` + id + `"}` }), stage.FaultMalformed, ""},
		{"another call's reply", plainStage, respond(func(string) string { return `{"id":"req-2/plain/1/x","output":[1]}` }), stage.FaultMismatch, ""},
		{"reply broken off", plainStage, respondAndAbort(func(id string) string { return `{"id":"` + id + `","out` }), stage.FaultConnLost, ""},
		{"whole reply, ended by the connection", plainStage, respondUnframed(func(id string) string { return `{"id":"` + id + `","output":[1]}` }), "", ""},
		{"connection ended inside the reply", plainStage, respondUnframed(func(id string) string { return `{"id":"` + id + `","out` }), stage.FaultConnLost, ""},
		{"connection ended before the reply", plainStage, respondUnframed(func(string) string { return "" }), stage.FaultConnLost, ""},
		{"endless reply", plainStage, respondForever("[["), stage.FaultTooLarge, ""},
		{"whole reply, raw", plainStage, respondRaw(plainAnswer("HTTP/1.1 200 OK", "A: b")), "", ""},
		{"status 000", plainStage, respondRaw(plainAnswer("HTTP/1.1 000 None", "A: b")), stage.FaultMalformed, ""},
		{"status 999", plainStage, respondRaw(plainAnswer("HTTP/1.1 999 More", "A: b")), stage.FaultMalformed, ""},
		{"another version", plainStage, respondRaw(plainAnswer("HTTP/9.9 200 OK", "A: b")), stage.FaultMalformed, ""},
		{"blank in a name", plainStage, respondRaw(plainAnswer("HTTP/1.1 200 OK", "A B: c")), stage.FaultMalformed, ""},
		{"blank after a name", plainStage, respondRaw(plainAnswer("HTTP/1.1 200 OK", "A : b")), stage.FaultMalformed, ""},
		{"control byte in a name", plainStage, respondRaw(plainAnswer("HTTP/1.1 200 OK", "A\x01: b")), stage.FaultConnLost, ""},
		{"blank after the coding's name", generateStage, respondRaw(func(id string) string {
			body := wholeStream(id)
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", stage.HeaderCall, id, len(body), body)
		}), stage.FaultMalformed, ""},
	}
	for _, cas := range cases {
		t.Run(cas.name, func(t *testing.T) {
			fix := newFixture(t, cas.han)
			res := fix.do(t.Context(), fix.call(cas.stg, time.Minute))
			require.Equal(t, cas.want, res.fault)
			require.Equal(t, cas.tokens, res.tokens)
			require.Equal(t, cas.want == "", res.rep != nil)
			require.Equal(t, 1, res.sent)
			require.Zero(t, fix.srv.Inflight())
		})
	}
}

// An engine that is asked to resume after two tokens restarts from the first.
// Passing its stream on would repeat the first tokens to the caller.
func TestResumeFromFirstToken(t *testing.T) {
	fix := newFixture(t, respond(wholeStream))
	res := fix.do(t.Context(), fix.call(generateStage, time.Minute).WithResume(2, "t0 t1 "))
	require.Equal(t, stage.FaultMalformed, res.fault)
	require.Empty(t, res.tokens)

	fix = newFixture(t, respond(func(id string) string { return tokenEvent(id, 2) + streamEnding(id) }))
	res = fix.do(t.Context(), fix.call(generateStage, time.Minute).WithResume(2, "t0 t1 "))
	require.Equal(t, "t2 ", res.tokens)
	require.JSONEq(t, `"t0 t1 t2 "`, string(res.rep.Output()))
}

func TestLeavingHeader(t *testing.T) {
	labelled := atomic.Bool{}
	fix := newFixture(t, func(wri http.ResponseWriter, req *http.Request) {
		id := writeHead(wri, req)
		if !labelled.Load() {
			wri.Header().Set(stage.HeaderCall, "another/plain/1/x")
		}
		wri.Header().Set(stage.HeaderState, stage.StateLeaving)
		_, _ = io.WriteString(wri, `{"id":"`+id+`","output":[1]}`)
	})
	fix.do(t.Context(), fix.call(plainStage, time.Minute))
	require.Zero(t, fix.leavingCount.Load(), "a leave notice in a reply with another call's ID must be ignored")
	labelled.Store(true)
	fix.do(t.Context(), fix.call(plainStage, time.Minute))
	require.EqualValues(t, 1, fix.leavingCount.Load())
}

// When a caller leaves or its deadline passes in the middle of a stream, the
// engine keeps generating unless it gets a cancel call. A call that may not be
// repeated must not be canceled.
func TestCancelIsSent(t *testing.T) {
	stuck := func(begin func(id string) string) http.HandlerFunc {
		return func(wri http.ResponseWriter, req *http.Request) {
			// The HTTP server detects a closed connection only once the body is read.
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(wri, begin(writeHead(wri, req)))
			_ = http.NewResponseController(wri).Flush()
			<-req.Context().Done()
		}
	}
	fix := newFixture(t, stuck(func(id string) string { return tokenEvent(id, 0) }))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	cal := fix.call(generateStage, time.Minute)
	require.Equal(t, stage.FaultCanceled, fix.do(ctx, cal).fault)
	require.Eventually(t, func() bool { return fix.cancelCount() == 1 }, 10*time.Second, time.Millisecond)
	require.JSONEq(t, `{"id":"`+cal.ID()+`"}`, fix.cancels[0])

	fix = newFixture(t, stuck(func(id string) string { return `{"id":"` + id + `",` }))
	ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Equal(t, stage.FaultCanceled, fix.do(ctx, fix.call(onceStage, time.Minute)).fault)
	sent, _ := fix.cli.Cancels()
	require.Zero(t, sent)
}
