// Package back implements simulated backend servers: model engines that stream
// completions, and plain JSON servers. A server records the calls that it ran
// in a journal and injects faults on request. The package is for tests,
// benchmarks and the demo only; production code never imports it.
//
// docs/engine-model.md specifies the engine's behaviour and its limits.
package back

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"lovagestream/io/stage"
)

// maxBodySize is the largest request body, in bytes.
const maxBodySize = 64 << 20

// Server simulates one backend server.
type Server struct {
	id  string
	mod Model
	jrn *journal
	swi *switches
	eng *engine
	// slots holds one entry for each plain call that runs.
	slots chan struct{}
	// plainMu guards queued, the number of plain calls that run or wait.
	plainMu sync.Mutex
	queued  int
	// onCrash is called instead of replying when a request body contains
	// Control.CrashOn.
	onCrash func()
	// orders is nil if the server accepts no orders.
	orders *OrderReceiver
}

// WithOrders makes the server accept load and unload orders.
func (srv *Server) WithOrders(orc *OrderReceiver) *Server {
	srv.orders = orc
	return srv
}

// New returns a server whose times per token and per plain call don't depend
// on its load. Tests and the demo use it; benchmarks use NewServer.
func New(id string, perToken, perCall time.Duration) *Server {
	return NewServer(id, ConstantSpeed(perToken, perCall))
}

// NewServer returns a server with the speed and the limits of a model.
func NewServer(id string, mod Model) *Server {
	swi := newSwitches()
	return &Server{
		id:      id,
		mod:     mod,
		jrn:     &journal{},
		swi:     swi,
		eng:     newEngine(mod, swi),
		slots:   make(chan struct{}, mod.plainSlots),
		onCrash: func() {},
	}
}

// OnCrash sets the function that simulates a crash: a process exits, a Host in
// a benchmark closes its listener and connections.
func (srv *Server) OnCrash(fun func()) { srv.onCrash = fun }

// ID returns the server's ID.
func (srv *Server) ID() string { return srv.id }

// Journal returns a copy of the calls recorded so far.
func (srv *Server) Journal() []Run { return srv.jrn.copy() }

// SetJournalWriter also writes each start and end of a call to out as a line of
// JSON, so that the journal survives the process.
func (srv *Server) SetJournalWriter(out io.Writer) { srv.jrn.setWriter(out) }

// Reset drops the state that a crash loses: cache, queue and batch. It keeps
// the journal.
func (srv *Server) Reset() { srv.eng.reset() }

// Close stops the engine's goroutine, even while frozen, and waits for it.
func (srv *Server) Close() error {
	srv.eng.grp.Stop()
	return srv.eng.grp.Wait()
}

// SetLeaving sets whether replies report that the server is leaving.
func (srv *Server) SetLeaving(leaving bool) {
	ctl := srv.swi.get()
	ctl.Leaving = leaving
	srv.swi.set(ctl)
}

// SetSwitches replaces all test switches; one at its zero value is off.
func (srv *Server) SetSwitches(ctl Control) { srv.swi.set(ctl) }

// Paths that the simulated server adds to those of package stage.
const (
	PathJournal     = "/journal"
	PathControl     = "/control"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathExport      = "/v1/kv/export"
	PathImport      = "/v1/kv/import"
)

// Handler serves the backend servers' protocol and the paths above.
func (srv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+stage.PathCompletions, srv.complete)
	mux.HandleFunc("POST "+stage.PathCancel, srv.cancel)
	mux.HandleFunc("GET "+PathLoad, srv.load)
	mux.HandleFunc("GET "+PathCacheEvents, srv.cacheEvents)
	mux.HandleFunc("POST "+PathExport, srv.exportCache)
	mux.HandleFunc("POST "+PathImport, srv.importCache)
	mux.HandleFunc("GET "+PathJournal, srv.readJournal)
	mux.HandleFunc("POST "+PathControl, srv.control)
	if srv.orders != nil {
		srv.orders.Register(mux)
	}
	mux.HandleFunc("POST /", srv.call)
	return mux
}

// setHeaders sets a reply's call ID and server state headers.
func (srv *Server) setHeaders(wri http.ResponseWriter, call string) {
	wri.Header().Set(stage.HeaderCall, srv.swi.replyID(call))
	if srv.swi.get().Leaving {
		wri.Header().Set(stage.HeaderState, stage.StateLeaving)
	}
}

// readCall decodes a call's body into bod. It reports false if the call is over:
// the body is invalid, it crashed the server, or the server never answers.
func (srv *Server) readCall(wri http.ResponseWriter, req *http.Request, bod any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(wri, req.Body, maxBodySize))
	if err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return false
	}
	if srv.swi.crashes(raw) {
		// The call counts as executed, so it must be in the journal before
		// the process exits.
		srv.jrn.begin(req.Header.Get(stage.HeaderCall))
		srv.onCrash()
		return false
	}
	if srv.swi.get().NeverAnswer {
		<-req.Context().Done()
		return false
	}
	if err := json.Unmarshal(raw, bod); err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return false
	}
	return srv.swi.waitUnfrozen(req.Context()) == nil
}

func (srv *Server) cancel(wri http.ResponseWriter, req *http.Request) {
	var bod struct {
		ID string `json:"id"`
	}
	if !srv.readCall(wri, req, &bod) {
		return
	}
	if bod.ID == "" {
		bod.ID = req.Header.Get(stage.HeaderCall)
	}
	if !srv.eng.cancel(bod.ID) {
		wri.WriteHeader(http.StatusNotFound)
	}
}

func (srv *Server) load(wri http.ResponseWriter, req *http.Request) {
	if srv.swi.waitUnfrozen(req.Context()) != nil {
		return
	}
	reply(wri, srv.eng.loadReport(time.Now()))
}

func (srv *Server) readJournal(wri http.ResponseWriter, _ *http.Request) {
	reply(wri, srv.jrn.body())
}

func (srv *Server) control(wri http.ResponseWriter, req *http.Request) {
	var ctl Control
	dec := json.NewDecoder(http.MaxBytesReader(wri, req.Body, maxBodySize))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&ctl); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	srv.swi.set(ctl)
}

// reply writes a JSON body. It ignores errors: the client has disconnected.
func reply(wri http.ResponseWriter, bod any) {
	wri.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wri).Encode(bod)
}

// wait sleeps for a duration unless the context ends first.
func wait(ctx context.Context, length time.Duration) error {
	tmr := time.NewTimer(length)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tmr.C:
		return nil
	}
}
