package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"lovagestream/io/clock"
	"lovagestream/io/group"
)

const (
	screenHost   = "screen.example"
	screenPrefix = "/screen/"
	// screenPatience is the client's deadline and the route's timeout, those of applicant-screen.
	screenPatience = 8 * time.Second
	screenEvents   = 100
	screenGap      = 30 * time.Millisecond
	screenFirst    = 200 * time.Millisecond
	// Two of six servers end a second apart; each is one of six, or 0.167 of them.
	releaseShare = 0.34
	releaseGap   = time.Second
	releasePause = 6 * time.Second
	releases     = 8
	// downTime is how long a server is away when it is started again, entryDelay how long
	// after its start it writes its entry: less than heartbeatMs.
	downTime   = 200 * time.Millisecond
	entryDelay = time.Second
)

// versionEngine serves streams that can be taken up. Each event names the software.
func versionEngine(rec *record) func(context.Context, *server, net.Conn, *http.Request, []byte) *response {
	return func(ctx context.Context, srv *server, con net.Conn, req *http.Request, _ []byte) *response {
		id, version := req.Header.Get("X-Lovagestream-Request-Id"), srv.software()
		first := 0
		_, _ = fmt.Sscanf(req.Header.Get("Last-Event-Id"), "%d", &first)
		rec.line("run", "%s (%s) runs request %s after event %d", srv.id, version, id, first)
		if srv.clk.Sleep(ctx, screenFirst) != nil {
			return nil
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Lovagestream-Request-Id: %s\r\nX-Lovagestream-Origin-Signature: %s.%s\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n", id, srv.id, id)
		if _, err := con.Write([]byte(head)); err != nil {
			return nil
		}
		for num := first + 1; num <= screenEvents; num++ {
			evt := fmt.Sprintf("id: %d\ndata: %s\n\n", num, version)
			if _, err := fmt.Fprintf(con, "%x\r\n%s\r\n", len(evt), evt); err != nil {
				rec.line("run-cut", "%s (%s): request %s at event %d", srv.id, version, id, num)
				return nil
			}
			if srv.clk.Sleep(ctx, screenGap) != nil {
				return nil
			}
		}
		if _, err := con.Write([]byte("0\r\n\r\n")); err != nil {
			return nil
		}
		return &response{written: true}
	}
}

// versionInPlace plays servers that are started again with other software, one after the
// other, under their IDs.
func versionInPlace(ctx context.Context, path string, trouble bool) (broken bool, err error) {
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
	var servers []*server
	for idx := range 6 {
		srv := &server{id: fmt.Sprintf("i-pool-%d", idx+1), service: "lovage-pool", zone: zones[idx%3], slots: 64, clk: clk, grp: grp, work: versionEngine(rec), born: clk.Now().UnixMilli()}
		if err := srv.listen("127.0.0.1"); err != nil {
			return false, err
		}
		srv.register(sto)
		servers = append(servers, srv)
	}
	sto.put("op/config", screenConfig())
	flt, err := newFleet(clk, dir, sto.address, zones, 3)
	if err != nil {
		return false, err
	}
	defer flt.stopAll()
	if err := flt.startAll(grp.Context()); err != nil {
		return false, err
	}
	load := group.New(grp.Context())
	until := clk.Now().Add(releases*(releasePause+3*releaseGap) + time.Second)
	for who := range 30 {
		load.Go(func(ctx context.Context) error {
			takeStreams(ctx, newClient(clk, rec), flt, who, until)
			return nil
		})
	}
	next := 0
	for num := range releases {
		_ = clk.Sleep(grp.Context(), releasePause)
		for range int(releaseShare * float64(len(servers))) {
			srv, version := servers[next%len(servers)], fmt.Sprintf("v1.%d", 1+num/3)
			next++
			if trouble {
				rec.line("restart", "%s ends and starts again as %s after %v; its entry follows %v later", srv.id, version, downTime, entryDelay)
				srv.stop()
				_ = clk.Sleep(grp.Context(), downTime)
				if err := srv.startAgain(version, entryDelay); err != nil {
					return false, err
				}
			}
			_ = clk.Sleep(grp.Context(), releaseGap-downTime)
		}
	}
	_ = load.Wait()
	rec.summary("streams %d, complete %d, taken up by clients %d, that hold events of two software versions %d", rec.count("stream"), rec.count("complete"), rec.count("taken-up"), rec.count("ORDER"))
	if rec.count("complete") == 0 {
		return false, errors.New("no stream was served")
	}
	return rec.count("ORDER") > 2, nil
}

// takeStreams reads streams one after the other until a time. A stream that breaks off is
// taken up once, at another instance.
func takeStreams(ctx context.Context, cli *client, flt *fleet, who int, until time.Time) {
	rnd := rand.New(rand.NewPCG(uint64(who), uint64(until.UnixNano())))
	for cli.clk.Now().Before(until) && ctx.Err() == nil {
		id := fmt.Sprintf("%016x", rnd.Uint64())
		at := rnd.IntN(len(flt.all))
		cli.rec.line("stream", "%s", id)
		end := cli.clk.Now().Add(screenPatience)
		versions, last, whole := cli.readStream(ctx, flt.all[at].front, id, "", 0, end)
		if !whole && last > 0 && end.Sub(cli.clk.Now()) > time.Second {
			cli.rec.line("taken-up", "%s after event %d", id, last)
			more, _, done := cli.readStream(ctx, flt.all[(at+1)%len(flt.all)].front, fmt.Sprintf("%016x", rnd.Uint64()), id, last, end)
			versions, whole = append(versions, more...), done
		}
		if whole {
			cli.rec.line("complete", "%s", id)
		}
		if seen := distinct(versions); len(seen) > 1 {
			cli.rec.line("ORDER", "stream %s holds events of %s", id, strings.Join(seen, " and "))
		}
		_ = cli.clk.Sleep(ctx, time.Duration(rnd.IntN(400))*time.Millisecond)
	}
}

func distinct(list []string) []string {
	var out []string
	for idx, one := range list {
		if idx == 0 || one != list[idx-1] {
			out = append(out, one)
		}
	}
	return out
}

// readStream reads a stream, from its start or after an event. It returns the software of each
// event, the ID of the last one, and whether the stream was whole.
func (cli *client) readStream(ctx context.Context, front, id, resumes string, after int, end time.Time) (versions []string, last int, whole bool) {
	wait := end.Sub(cli.clk.Now())
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+screenPrefix+id, strings.NewReader("prompt"))
	if err != nil {
		return nil, after, false
	}
	req.Host = screenHost
	for name, val := range map[string]string{
		"X-Lovagestream-Request-Id": id, "X-Lovagestream-Deadline-Ms": fmt.Sprint(wait.Milliseconds()), "X-Lovagestream-Model": "m",
		"X-Lovagestream-Token-Counts": "1460,300", "X-Lovagestream-Prefix-Hash": "5c1e07a2:800," + id[:8] + ":660",
	} {
		req.Header.Set(name, val)
	}
	if resumes != "" {
		req.Header.Set("Last-Event-Id", fmt.Sprint(after))
		req.Header.Set("Resumes", resumes)
	}
	cli.rec.line("sent", "%s to %s, resumes %q after %d", id, front, resumes, after)
	res, err := cli.cli.Do(req)
	if err != nil {
		cli.rec.line("answered", "%s: %v", id, err)
		return nil, after, false
	}
	defer func() { _ = res.Body.Close() }()
	last = after
	rdr := bufio.NewReader(res.Body)
	for {
		txt, err := rdr.ReadString('\n')
		if val, ok := strings.CutPrefix(txt, "data: "); ok && res.StatusCode == http.StatusOK {
			versions = append(versions, strings.TrimSpace(val))
		}
		_, _ = fmt.Sscanf(txt, "id: %d", &last)
		if err != nil {
			cli.rec.line("answered", "%s: status %d, events up to %d, %v", id, res.StatusCode, last, err)
			return versions, last, errors.Is(err, io.EOF) && res.StatusCode == http.StatusOK
		}
	}
}

// screenConfig is a configuration with one route of streams that may be resumed.
func screenConfig() []byte {
	doc, _ := json.Marshal(map[string]any{
		"version":  7,
		"services": []map[string]any{{"name": "lovage-pool", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvCapacityTokens": 635275, "kvTokenBytes": 18432, "linkMbps": 180000, "handleS": 5}}},
		"routes":   []map[string]any{{"name": "r-screen", "host": screenHost, "prefix": screenPrefix, "routeKind": "streaming", "timeoutMs": screenPatience.Milliseconds(), "targetLatencyMs": 1700, "targetGapMs": 200, "priority": 0, "service": "lovage-pool", "maxAttempts": 2, "allowAnonymous": false, "stickySessions": true, "streamResume": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return doc
}
