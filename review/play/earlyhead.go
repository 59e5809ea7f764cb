package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"lovagestream/io/clock"
	"lovagestream/io/group"
)

const (
	briefHost   = "briefs.example"
	briefPrefix = "/brief/"
	// patience is the client's deadline.
	patience = 12 * time.Second
	// briefTimeout is the route's timeout.
	briefTimeout = 1500 * time.Millisecond
	// readTime is how long an engine reads 17,000 tokens at 54.6 a ms, and its first step.
	readTime    = 372 * time.Millisecond
	briefEvents = 40
	briefGap    = 20 * time.Millisecond
	// silence is "a second or so".
	silence      = 1200 * time.Millisecond
	silencePause = 4 * time.Second
	silences     = 12
	// answerSlack is how much later than its timeout a request may be answered.
	answerSlack = 500 * time.Millisecond
)

// quiet is whether an engine has fallen silent: it neither reads nor writes nor works.
type quiet struct {
	mu sync.Mutex
	on bool
}

func (qui *quiet) set(on bool) {
	qui.mu.Lock()
	defer qui.mu.Unlock()
	qui.on = on
}

func (qui *quiet) isOn() bool {
	qui.mu.Lock()
	defer qui.mu.Unlock()
	return qui.on
}

// work takes a time, in which a silence doesn't count.
func (qui *quiet) work(ctx context.Context, clk clock.Service, took time.Duration) error {
	const step = 5 * time.Millisecond
	for left := took; left > 0 || qui.isOn(); {
		before := clk.Now()
		if err := clk.Sleep(ctx, step); err != nil {
			return err
		}
		if !qui.isOn() {
			left -= clk.Now().Sub(before)
		}
	}
	return nil
}

// begunRuns are the requests that engines have begun.
type begunRuns struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (beg *begunRuns) add(id string) {
	beg.mu.Lock()
	defer beg.mu.Unlock()
	beg.ids[id] = true
}

func (beg *begunRuns) has(id string) bool {
	beg.mu.Lock()
	defer beg.mu.Unlock()
	return beg.ids[id]
}

// engineWithHead serves streams. It sends the head when it begins to read the prompt, and
// the first event when it has read it.
func engineWithHead(rec *record, qui *quiet, begun *begunRuns) func(context.Context, *server, net.Conn, *http.Request, []byte) *response {
	return func(ctx context.Context, srv *server, con net.Conn, req *http.Request, _ []byte) *response {
		id := req.Header.Get("X-Lovagestream-Request-Id")
		if qui.work(ctx, srv.clk, 0) != nil {
			return nil
		}
		begun.add(id)
		rec.line("run", "%s begins request %s", srv.id, id)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Lovagestream-Request-Id: %s\r\nX-Lovagestream-Origin-Signature: %s.%s\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n", id, srv.id, id)
		if _, err := con.Write([]byte(head)); err != nil || qui.work(ctx, srv.clk, readTime) != nil {
			return nil
		}
		for num := 1; num <= briefEvents; num++ {
			evt := fmt.Sprintf("id: %d\ndata: %045d\n\n", num, num)
			if _, err := fmt.Fprintf(con, "%x\r\n%s\r\n", len(evt), evt); err != nil {
				rec.line("run-cut", "%s: request %s at event %d", srv.id, id, num)
				return nil
			}
			if qui.work(ctx, srv.clk, briefGap) != nil {
				return nil
			}
		}
		if _, err := con.Write([]byte("0\r\n\r\n")); err != nil {
			return nil
		}
		rec.line("run-ended", "%s: request %s", srv.id, id)
		return &response{written: true}
	}
}

// headBeforeEvent plays engines that send the head of a stream well before its first event,
// and fall silent for a second or so now and then.
func headBeforeEvent(ctx context.Context, path string, trouble bool) (broken bool, err error) {
	clk := clock.System{}
	rec, err := newRecord(path, clk)
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "review-play-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	grp := group.New(ctx)
	defer grp.Stop()
	sto := newStore(clk)
	run, err := sto.serve(grp.Context(), "127.0.0.1")
	if err != nil {
		return false, err
	}
	grp.Go(run)
	zones := []string{"kilimani-hall", "embakasi-hall", "kasarani-hall"}
	begun := &begunRuns{ids: map[string]bool{}}
	var quiets []*quiet
	var names []string
	for idx := range 6 {
		qui := &quiet{}
		srv := &server{id: fmt.Sprintf("i-pool-%d", idx+1), service: "lovage-pool", zone: zones[idx%3], slots: 64, clk: clk, grp: grp, work: engineWithHead(rec, qui, begun)}
		if err := srv.listen("127.0.0.1"); err != nil {
			return false, err
		}
		srv.register(sto)
		quiets, names = append(quiets, qui), append(names, srv.id)
	}
	sto.put("op/config", briefConfig())
	flt, err := newFleet(clk, dir, sto.address, zones, 3)
	if err != nil {
		return false, err
	}
	defer flt.stopAll()
	if err := flt.startAll(grp.Context()); err != nil {
		return false, err
	}
	// Machines are in touch from contactMs after their start.
	_ = clk.Sleep(grp.Context(), 2*time.Second)

	load := group.New(grp.Context())
	until := clk.Now().Add(silences*(silence+silencePause) + time.Second)
	for who := range 40 {
		load.Go(func(ctx context.Context) error {
			sendBriefs(ctx, newClient(clk, rec), flt, begun, who, until)
			return nil
		})
	}
	for num := range silences {
		_ = clk.Sleep(grp.Context(), silencePause)
		if trouble {
			rec.line("silent", "%s for %v", names[num%len(names)], silence)
			quiets[num%len(names)].set(true)
		}
		_ = clk.Sleep(grp.Context(), silence)
		quiets[num%len(names)].set(false)
	}
	_ = load.Wait()
	rec.summary("requests sent %d, complete %d, cut in the answer %d; unanswered at the route's timeout %d, of these answered within %v %d, closed without an answer %d, on kept connections %d", rec.count("sent"), rec.count("complete"), rec.count("cut"), rec.count("overdue"), answerSlack, rec.count("overdue")-rec.count("never"), rec.count("closed"), rec.count("LOST"))
	if rec.count("complete") == 0 {
		return false, errors.New("no request was served")
	}
	return rec.count("LOST") > 3, nil
}

// sendBriefs sends requests one after the other until a time, over one kept connection.
func sendBriefs(ctx context.Context, cli *client, flt *fleet, begun *begunRuns, who int, until time.Time) {
	rnd := rand.New(rand.NewPCG(uint64(who), uint64(until.UnixNano())))
	front := flt.all[who%len(flt.all)].front
	for cli.clk.Now().Before(until) && ctx.Err() == nil {
		id := fmt.Sprintf("%016x", rnd.Uint64())
		ans := cli.send(ctx, front, "POST", briefPrefix+id, briefHost, id, patience, map[string]string{
			"X-Lovagestream-Model": "m", "X-Lovagestream-Token-Counts": "17000,120", "X-Lovagestream-Prefix-Hash": "5c1e07a2:13300," + id[:8] + ":3700",
		}, "prompt")
		unanswered := ans.status == 0
		switch {
		case unanswered:
			if ans.took >= briefTimeout-100*time.Millisecond {
				cli.rec.line("overdue", "%s", id)
				cli.rec.line("never", "%s", id)
			}
			cli.rec.line("closed", "%s", id)
			if ans.kept && begun.has(id) {
				cli.rec.line("LOST", "request %s: its kept connection to %s was closed after %v without an answer", id, front, ans.took)
			}
		case ans.status == http.StatusGatewayTimeout && ans.took >= briefTimeout-100*time.Millisecond:
			cli.rec.line("overdue", "%s", id)
			if ans.took > briefTimeout+answerSlack {
				cli.rec.line("never", "%s", id)
			}
		case ans.status == http.StatusOK && ans.err == nil && ans.signed:
			cli.rec.line("complete", "%s", id)
		case ans.err != nil:
			cli.rec.line("cut", "%s", id)
		}
		_ = cli.clk.Sleep(ctx, time.Duration(200+rnd.IntN(800))*time.Millisecond)
	}
}

// briefConfig is a configuration with one route of streams.
func briefConfig() []byte {
	doc, _ := json.Marshal(map[string]any{
		"version":  7,
		"services": []map[string]any{{"name": "lovage-pool", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvCapacityTokens": 635275, "kvTokenBytes": 18432, "linkMbps": 180000, "handleS": 5}}},
		"routes":   []map[string]any{{"name": "r-brief", "host": briefHost, "prefix": briefPrefix, "routeKind": "streaming", "timeoutMs": briefTimeout.Milliseconds(), "targetLatencyMs": 1300, "targetGapMs": 200, "priority": 1, "service": "lovage-pool", "maxAttempts": 1, "allowAnonymous": false, "stickySessions": true, "streamResume": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return doc
}
