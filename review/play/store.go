package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"lovagestream/io/clock"
)

// item is one key of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"createdAt,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store, as PROTOCOL.md describes its reading calls.
type store struct {
	clk     clock.Service
	address string

	mu      sync.Mutex
	items   map[string]item
	history []item
	rev     int64
	changed chan struct{}
}

func newStore(clk clock.Service) *store {
	return &store{clk: clk, items: map[string]item{}, rev: 10, changed: make(chan struct{})}
}

// serve listens on a free port until the context ends.
func (sto *store) serve(ctx context.Context, ip string) (func(context.Context) error, error) {
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	sto.address = lis.Addr().String()
	srv := &http.Server{Handler: http.HandlerFunc(sto.handle), ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	return func(context.Context) error {
		defer stop()
		_ = srv.Serve(lis)
		return nil
	}, nil
}

func (sto *store) put(key string, value []byte) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.rev++
	itm := item{Key: key, Value: value, Revision: sto.rev, CreatedAt: sto.rev}
	if old, have := sto.items[key]; have {
		itm.CreatedAt = old.CreatedAt
	}
	sto.items[key] = itm
	sto.note(itm)
}

func (sto *store) note(itm item) {
	sto.history = append(sto.history, itm)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

func (sto *store) handle(wri http.ResponseWriter, req *http.Request) {
	qry := req.URL.Query()
	switch req.URL.Path {
	case "/-/kv-key":
		sto.key(wri, qry.Get("key"))
	case "/-/kv-range":
		sto.list(wri, qry.Get("prefix"), qry.Get("after"))
	case "/-/kv-watch":
		after, _ := strconv.ParseInt(qry.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(qry.Get("waitMs"))
		sto.watch(req.Context(), wri, qry.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		wri.WriteHeader(http.StatusNotFound)
	}
}

func (sto *store) key(wri http.ResponseWriter, key string) {
	sto.mu.Lock()
	itm, have := sto.items[key]
	rev := sto.rev
	sto.mu.Unlock()
	if !have {
		wri.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(wri, map[string]any{"key": itm.Key, "value": itm.Value, "revision": itm.Revision, "createdAt": itm.CreatedAt, "lease": 0, "currentRev": rev})
}

// pageSize is the largest number of items of one page.
const pageSize = 500

func (sto *store) list(wri http.ResponseWriter, prefix, after string) {
	sto.mu.Lock()
	items := []item{}
	for key, itm := range sto.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, itm)
		}
	}
	rev := sto.rev
	sto.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	writeJSON(wri, map[string]any{"items": items[:min(len(items), pageSize)], "hasMore": more, "currentRev": rev})
}

func (sto *store) watch(ctx context.Context, wri http.ResponseWriter, prefix string, after int64, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		sto.mu.Lock()
		events := []item{}
		for _, itm := range sto.history {
			if itm.Revision > after && strings.HasPrefix(itm.Key, prefix) {
				events = append(events, itm)
			}
		}
		rev, changed := sto.rev, sto.changed
		sto.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			writeJSON(wri, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func writeJSON(wri http.ResponseWriter, body any) {
	wri.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wri).Encode(body)
}
