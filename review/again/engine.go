package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lovagestream/io/group"
)

// Header fields of the platform's pages.
const (
	hdrRequestID = "X-Lovagestream-Request-Id"
	hdrSignature = "X-Lovagestream-Origin-Signature"
	hdrNotRun    = "X-Lovagestream-Not-Executed"
	hdrExpect    = "X-Lovagestream-Expect-Instance"
	hdrInstance  = "X-Lovagestream-Instance-Id"
	hdrDeadline  = "X-Lovagestream-Deadline-Ms"
	hdrLast      = "Last-Event-Id"
)

// Run is one request that an engine began to work on.
type Run struct {
	Engine string
	ID     string
	At     time.Time
	// First is the number of the first event, for a stream that goes on.
	First int
}

// Engine is a sound engine: it runs as many requests at a time as it has slots, lets as many
// wait, and says of every other that it has not run it.
type Engine struct {
	wld     *World
	id      string
	service string
	zone    string
	version string
	slots   int
	// work is how long a plain request takes; a stream has events, one each gap.
	work     time.Duration
	events   int
	gap      time.Duration
	address  string
	path     *path
	srv      *http.Server
	grp      *group.Group
	places   chan struct{}
	queue    chan struct{}
	sequence int
	// born is the start of the engine's process.
	born time.Time

	mu sync.Mutex
	// runs are the requests that it began.
	runs []Run
}

// NewEngine starts an engine. It isn't listed yet.
func (wld *World) NewEngine(id, service, zone string, slots int) (*Engine, error) {
	eng := &Engine{wld: wld, id: id, service: service, zone: zone, version: "v1", slots: slots, address: net.JoinHostPort(wld.IP(100), "0"), grp: group.New(context.Background()), places: make(chan struct{}, slots), queue: make(chan struct{}, 2*slots)}
	return eng, eng.start()
}

// start starts the engine's process: at a free port, or again at its address.
func (eng *Engine) start() error {
	lis, err := net.Listen("tcp", eng.address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: eng}
	eng.path, eng.address, eng.srv, eng.born, eng.sequence = newPath(lis, eng.grp), lis.Addr().String(), srv, clk.Now(), 0
	eng.grp.Go(func(context.Context) error {
		_ = srv.Serve(eng.path)
		return nil
	})
	return nil
}

// List writes the engine's entry.
func (eng *Engine) List(state string) {
	eng.sequence++
	eng.wld.Publish("servers/"+eng.id, map[string]any{
		"service": eng.service, "address": eng.address, "zone": eng.zone, "version": eng.version, "slots": eng.slots, "state": state, "coldRemainingMs": 0, "sequence": eng.sequence, "born": eng.born.UnixMilli(),
	})
}

// Exit ends the engine's process: connections and requests in progress end with it.
func (eng *Engine) Exit() {
	_ = eng.srv.Close()
	eng.wld.Note("engine %s has ended", eng.id)
}

// Runs returns the requests that the engine began.
func (eng *Engine) Runs() []Run {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return append([]Run(nil), eng.runs...)
}

func (eng *Engine) begin(run Run) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.runs = append(eng.runs, run)
}

// ServeHTTP serves one request.
func (eng *Engine) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get(hdrExpect); want != "" && want != eng.id {
		wri.Header().Set(hdrInstance, eng.id)
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get(hdrRequestID)
	wri.Header().Set(hdrRequestID, id)
	_, _ = io.Copy(io.Discard, req.Body)
	select {
	case eng.queue <- struct{}{}:
		defer func() { <-eng.queue }()
	default:
		eng.reject(wri)
		return
	}
	left, _ := strconv.Atoi(req.Header.Get(hdrDeadline))
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	dog := clk.StartWatchdog(time.Duration(left)*time.Millisecond, cancel)
	defer dog.Stop()
	select {
	case eng.places <- struct{}{}:
		defer func() { <-eng.places }()
	case <-ctx.Done():
		eng.reject(wri)
		return
	}
	first := 1
	if last := req.Header.Get(hdrLast); last != "" {
		num, _ := strconv.Atoi(last)
		first = num + 1
	}
	eng.begin(Run{Engine: eng.id, ID: id, At: clk.Now(), First: first})
	eng.wld.Note("engine %s begins %s at event %d", eng.id, id, first)
	wri.Header().Set(hdrSignature, "signed-"+eng.id)
	if eng.events == 0 {
		_ = clk.Sleep(ctx, eng.work)
		_, _ = io.WriteString(wri, "answer to "+id)
		return
	}
	wri.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(wri)
	for num := first; num <= eng.events; num++ {
		if clk.Sleep(ctx, eng.gap) != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(wri, "id: %d\ndata: piece %d by %s\n\n", num, num, eng.version)
		_ = flush.Flush()
	}
}

// reject says that the request has not run.
func (eng *Engine) reject(wri http.ResponseWriter) {
	wri.Header().Set(hdrNotRun, "1")
	wri.WriteHeader(http.StatusServiceUnavailable)
}
