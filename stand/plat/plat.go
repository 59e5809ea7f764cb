// Package plat is a fake of the platform's service. It publishes the
// configuration and the instance list, which clients read or watch, and counts
// the calls. Only tests, benchmarks and the demo use it.
package plat

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lovagestream/io/watch"
)

// value is one published value with its version.
type value struct {
	data    []byte
	version int
	// changed is closed when a later version replaces this one.
	changed chan struct{}
}

// Platform is a fake of the platform's service.
type Platform struct {
	mu    sync.Mutex
	vals  map[string]*value
	calls atomic.Int64
	// listRevision is the revision of the last instance list. It starts from the
	// time of day, so that revisions increase across restarts.
	listRevision atomic.Uint64
}

// New returns a platform that has published nothing.
func New() *Platform {
	plt := &Platform{vals: map[string]*value{
		watch.PathConfig:    {changed: make(chan struct{})},
		watch.PathInstances: {changed: make(chan struct{})},
	}}
	plt.listRevision.Store(uint64(time.Now().UnixMicro()))
	return plt
}

// Calls returns the number of reads and watches received.
func (plt *Platform) Calls() int64 { return plt.calls.Load() }

// PublishConfig publishes a configuration document.
func (plt *Platform) PublishConfig(data []byte) { plt.set(watch.PathConfig, data) }

// PublishList publishes an instance list.
func (plt *Platform) PublishList(rows []watch.InstanceBody) error {
	data, err := json.Marshal(watch.ListBody{Revision: plt.listRevision.Add(1), Instances: rows})
	if err != nil {
		return err
	}
	plt.set(watch.PathInstances, data)
	return nil
}

func (plt *Platform) set(path string, data []byte) {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	plt.replace(path, data, plt.vals[path].version+1)
}

// replace sets a value with its version and ends the watches on the old one.
func (plt *Platform) replace(path string, data []byte, version int) {
	old := plt.vals[path]
	plt.vals[path] = &value{data: data, version: version, changed: make(chan struct{})}
	close(old.changed)
}

// rollBack replaces the configuration by one published some versions ago.
func (plt *Platform) rollBack(data []byte, back int) {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	plt.replace(watch.PathConfig, data, plt.vals[watch.PathConfig].version-back)
}

// copyFrom copies the values and versions of another platform, whose replica
// this one is.
func (plt *Platform) copyFrom(src *Platform) {
	for path := range src.vals {
		val := src.get(path)
		plt.mu.Lock()
		plt.replace(path, val.data, val.version)
		plt.mu.Unlock()
	}
}

func (plt *Platform) get(path string) *value {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	return plt.vals[path]
}

// Handler returns the handler of reads and watches.
func (plt *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+watch.PathConfig, plt.read)
	mux.HandleFunc("GET "+watch.PathInstances, plt.read)
	return mux
}

func (plt *Platform) read(wri http.ResponseWriter, req *http.Request) {
	plt.calls.Add(1)
	val := plt.get(req.URL.Path)
	if req.URL.Query().Get("version") == strconv.Itoa(val.version) || val.version == 0 {
		wait, _ := time.ParseDuration(req.URL.Query().Get("wait"))
		select {
		case <-val.changed:
			val = plt.get(req.URL.Path)
		case <-time.After(wait):
			wri.WriteHeader(http.StatusNotModified)
			return
		case <-req.Context().Done():
			return
		}
	}
	wri.Header().Set(watch.HeaderVersion, strconv.Itoa(val.version))
	_, _ = wri.Write(val.data)
}
