package plat

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"lovagestream/io/watch"
)

// Control paths for a test driver whose platform runs as a process.
const (
	// PathPublish takes POST with a configuration document.
	PathPublish = "/control/publish"
	// PathList takes POST with an instance list (JSON).
	PathList = "/control/list"
	// PathMode takes POST with ?mode=up, down or stale. With stale, &back=N
	// serves the configuration published N documents ago.
	PathMode = "/control/mode"
	// PathCalls answers GET with the number of reads and watches received.
	PathCalls = "/control/calls"
)

// Controlled is a platform that a test driver can take down or make stale, over
// HTTP.
type Controlled struct {
	mu sync.Mutex
	// current serves reads. In stale mode it is another platform, a lagging
	// replica, which has only the older documents.
	current *Platform
	fresh   *Platform
	down    bool
	docs    [][]byte
}

// NewControlled returns a platform that has published nothing.
func NewControlled() *Controlled {
	plt := New()
	return &Controlled{current: plt, fresh: plt}
}

// Handler returns the handler of the platform's paths and the control paths.
func (ctl *Controlled) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathPublish, ctl.publish)
	mux.HandleFunc("POST "+PathList, ctl.list)
	mux.HandleFunc("POST "+PathMode, ctl.mode)
	mux.HandleFunc("GET "+PathCalls, ctl.calls)
	mux.HandleFunc("/", ctl.read)
	return mux
}

func (ctl *Controlled) read(wri http.ResponseWriter, req *http.Request) {
	ctl.mu.Lock()
	plt, down := ctl.current, ctl.down
	ctl.mu.Unlock()
	if down {
		// A platform that is down closes the connection without an answer.
		panic(http.ErrAbortHandler)
	}
	plt.Handler().ServeHTTP(wri, req)
}

func (ctl *Controlled) publish(wri http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(req.Body)
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.docs = append(ctl.docs, data)
	ctl.fresh.PublishConfig(data)
}

func (ctl *Controlled) list(wri http.ResponseWriter, req *http.Request) {
	var bod watch.ListBody
	if err := json.NewDecoder(req.Body).Decode(&bod); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if err := ctl.fresh.PublishList(bod.Instances); err != nil {
		http.Error(wri, err.Error(), http.StatusInternalServerError)
	}
}

func (ctl *Controlled) mode(wri http.ResponseWriter, req *http.Request) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.down = false
	switch req.FormValue("mode") {
	case "up":
		ctl.catchUp()
	case "down":
		ctl.down = true
	case "stale":
		back, err := strconv.Atoi(req.FormValue("back"))
		if err != nil || back < 0 || back >= len(ctl.docs) {
			http.Error(wri, "back: want a number from 0, less than the number of published documents", http.StatusBadRequest)
			return
		}
		ctl.current = New()
		ctl.current.copyFrom(ctl.fresh)
		ctl.current.rollBack(ctl.docs[len(ctl.docs)-1-back], back)
		// End the watches on the up-to-date platform now, so that the next ones
		// reach the stale one without waiting for their timeout.
		ctl.fresh.copyFrom(ctl.fresh)
	default:
		http.Error(wri, "mode: want up, down or stale", http.StatusBadRequest)
	}
}

// catchUp ends stale mode. The stale replica gets the latest values, so that
// watches on it end now and not at their timeout.
func (ctl *Controlled) catchUp() {
	old := ctl.current
	ctl.current = ctl.fresh
	if old == ctl.fresh {
		return
	}
	old.copyFrom(ctl.fresh)
}

func (ctl *Controlled) calls(wri http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(wri).Encode(ctl.fresh.Calls())
}
