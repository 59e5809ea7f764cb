package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"lovagestream/io/group"
)

// storeFront is the store's address for the instances: it passes all calls on to the store,
// and can cut the watches that are waiting.
type storeFront struct {
	wld *World
	lis net.Listener
	srv *http.Server
	grp *group.Group

	mu sync.Mutex
	// watches are the connections with a waiting watch, with its begin.
	watches map[net.Conn]time.Time
}

type connKey struct{}

func newStoreFront(wld *World) (*storeFront, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(wld.IP(200), "0"))
	if err != nil {
		return nil, err
	}
	stf := &storeFront{wld: wld, lis: lis, grp: group.New(context.Background()), watches: map[net.Conn]time.Time{}}
	stf.srv = &http.Server{Handler: stf, ConnContext: func(ctx context.Context, con net.Conn) context.Context { return context.WithValue(ctx, connKey{}, con) }}
	stf.grp.Go(func(context.Context) error {
		_ = stf.srv.Serve(lis)
		return nil
	})
	return stf, nil
}

// Address returns the listen address.
func (stf *storeFront) Address() string { return stf.lis.Addr().String() }

func (stf *storeFront) close() {
	_ = stf.srv.Close()
	_ = stf.grp.Wait()
}

// ServeHTTP passes a call on.
func (stf *storeFront) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	con, _ := req.Context().Value(connKey{}).(net.Conn)
	if strings.HasPrefix(req.URL.Path, "/-/kv-watch") {
		stf.waiting(con, true)
		defer stf.waiting(con, false)
	}
	out, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+stf.wld.sto.Address()+req.URL.RequestURI(), nil)
	if err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	res, err := http.DefaultClient.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(res.StatusCode)
	_, _ = wri.Write(body)
}

func (stf *storeFront) waiting(con net.Conn, waits bool) {
	stf.mu.Lock()
	defer stf.mu.Unlock()
	if waits {
		stf.watches[con] = clk.Now()
		return
	}
	delete(stf.watches, con)
}

// CutWatches waits until as many watches have waited for a time, and then closes the
// connections of all that are waiting. It returns their number, 0 if that didn't happen.
func (stf *storeFront) CutWatches(num int, least time.Duration) int {
	for range 500 {
		if stf.cutOld(num, least) {
			return num
		}
		stf.wld.Sleep(10 * time.Millisecond)
	}
	return 0
}

func (stf *storeFront) cutOld(num int, least time.Duration) bool {
	stf.mu.Lock()
	defer stf.mu.Unlock()
	old := 0
	for _, since := range stf.watches {
		if clk.Now().Sub(since) >= least {
			old++
		}
	}
	if old < num {
		return false
	}
	for con := range stf.watches {
		_ = con.Close()
	}
	return true
}
