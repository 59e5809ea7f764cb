package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lovagestream/io/clock"
	"lovagestream/io/group"
)

// response is what a server writes on a connection.
type response struct {
	status int
	fields [][2]string
	body   []byte
	// written is set if the response was written to the connection already, whole.
	written bool
}

// bytes returns the response with a length.
func (rsp *response) bytes() []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "HTTP/1.1 %d %s\r\n", rsp.status, http.StatusText(rsp.status))
	for _, fie := range rsp.fields {
		fmt.Fprintf(&buf, "%s: %s\r\n", fie[0], fie[1])
	}
	fmt.Fprintf(&buf, "Content-Length: %d\r\n\r\n", len(rsp.body))
	buf.Write(rsp.body)
	return buf.Bytes()
}

// server is one engine or stage server: one request at a time on a connection.
type server struct {
	id      string
	service string
	zone    string
	address string
	slots   int
	clk     clock.Service
	grp     *group.Group
	// work answers a request, whose body was read whole. It may write to the connection
	// itself; it returns nil if the connection is to be closed.
	work func(ctx context.Context, srv *server, con net.Conn, req *http.Request, body []byte) *response
	// repeats decides, for each answer, whether the server hands it out a second time,
	// late: at the point where the next response on the connection is expected.
	repeats func(srv *server) bool
	// onRepeat is called when a second answer is written.
	onRepeat func(srv *server)
	// repeating reports whether second answers may be written now; nil if there are none.
	repeating func() bool

	mu  sync.Mutex
	seq int64
	// version is the version of the software, born the start; 0 if the entry doesn't say it.
	version string
	born    int64
	lis     net.Listener
	conns   map[net.Conn]bool
	// beatAt is when the server writes its entry next.
	beatAt time.Time
}

// listen opens the server's listener on a free port, or again on its address.
func (srv *server) listen(ip string) error {
	address := ip + ":0"
	if srv.address != "" {
		address = srv.address
	}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv.mu.Lock()
	srv.address, srv.lis, srv.conns = lis.Addr().String(), lis, map[net.Conn]bool{}
	if srv.version == "" {
		srv.version = "v1"
	}
	srv.mu.Unlock()
	srv.grp.Go(func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
		defer stop()
		for {
			con, err := lis.Accept()
			if err != nil {
				return nil
			}
			srv.mu.Lock()
			srv.conns[con] = true
			srv.mu.Unlock()
			srv.grp.Go(func(ctx context.Context) error {
				srv.serve(ctx, con)
				return nil
			})
		}
	})
	return nil
}

// idleTimeout is how long a connection may be idle; responses state it.
const idleTimeout = 10 * time.Second

func (srv *server) serve(ctx context.Context, con net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = con.Close() })
	defer stop()
	defer func() {
		_ = con.Close()
		srv.mu.Lock()
		defer srv.mu.Unlock()
		delete(srv.conns, con)
	}()
	rdr := bufio.NewReader(con)
	var again []byte
	for {
		_ = con.SetReadDeadline(srv.clk.Now().Add(idleTimeout))
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if again != nil && !srv.repeating() {
			again = nil
		}
		if again != nil {
			srv.onRepeat(srv)
			if _, err := con.Write(again); err != nil {
				return
			}
			again = nil
		}
		rsp := srv.answer(ctx, con, req, body)
		if rsp == nil {
			return
		}
		if rsp.written {
			continue
		}
		raw := rsp.bytes()
		if _, err := con.Write(raw); err != nil {
			return
		}
		if srv.repeats != nil && srv.repeats(srv) {
			again = raw
		}
	}
}

// answer refuses requests that are meant for another server. It echoes the request ID.
func (srv *server) answer(ctx context.Context, con net.Conn, req *http.Request, body []byte) *response {
	var rsp *response
	if want := req.Header.Get("X-Lovagestream-Expect-Instance"); want != "" && want != srv.id {
		rsp = &response{status: http.StatusMisdirectedRequest, fields: [][2]string{{"X-Lovagestream-Instance-Id", srv.id}}}
	} else if rsp = srv.work(ctx, srv, con, req, body); rsp == nil || rsp.written {
		return rsp
	}
	if id := req.Header.Get("X-Lovagestream-Request-Id"); id != "" {
		rsp.fields = append(rsp.fields, [2]string{"X-Lovagestream-Request-Id", id})
	}
	rsp.fields = append(rsp.fields, [2]string{"Keep-Alive", "timeout=" + strconv.Itoa(int(idleTimeout.Seconds()))})
	return rsp
}

// entry returns the server's entry in the store.
func (srv *server) entry(state string) []byte {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.seq++
	ent := map[string]any{
		"service": srv.service, "address": srv.address, "zone": srv.zone, "version": srv.version, "slots": srv.slots, "state": state, "coldRemainingMs": 0, "sequence": srv.seq,
	}
	if srv.born > 0 {
		ent["born"] = srv.born
	}
	doc, _ := json.Marshal(ent)
	return doc
}

// stop ends the server as the end of its process does.
func (srv *server) stop() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	_ = srv.lis.Close()
	for con := range srv.conns {
		_ = con.Close()
	}
	srv.beatAt = srv.clk.Now().Add(time.Hour)
}

// startAgain starts the server under its ID and at its address with other software. It writes
// its entry after a time.
func (srv *server) startAgain(version string, entryAfter time.Duration) error {
	srv.mu.Lock()
	srv.version, srv.born, srv.seq = version, srv.clk.Now().UnixMilli(), 0
	srv.mu.Unlock()
	err := srv.listen("")
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.beatAt = srv.clk.Now().Add(entryAfter)
	return err
}

func (srv *server) software() string {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.version
}

// beatDue reports whether the server is to write its entry now.
func (srv *server) beatDue() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	now := srv.clk.Now()
	if now.Before(srv.beatAt) {
		return false
	}
	srv.beatAt = now.Add(beatPeriod)
	return true
}

// beatPeriod is the period in which servers write their entries.
const beatPeriod = 1200 * time.Millisecond

// register writes the server's entry until the context ends.
func (srv *server) register(sto *store) {
	const step = 20 * time.Millisecond
	beat := func(time.Time) {
		if srv.beatDue() {
			sto.put("servers/"+srv.id, srv.entry("ready"))
		}
	}
	beat(srv.clk.Now())
	srv.grp.Go(func(ctx context.Context) error {
		srv.clk.Every(ctx, step, beat)
		return nil
	})
}
