package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// stageInfo is a stage of the route, and the service that makes its pieces.
type stageInfo struct {
	service string
	after   []int
	size    int
}

// pieceInfo is what the configuration says of a stage service.
type pieceInfo struct {
	batch    int
	callTime time.Duration
	itemTime time.Duration
}

const (
	// resultLifetime is how long a result is kept.
	resultLifetime = 4 * time.Second
	// queueLength is how many calls may wait at a stage server.
	queueLength = 2
)

// result is what a stage server made for one piece.
type result struct {
	id    string
	stage int
	piece int
	until time.Time
}

// asked is what a client asked for.
type asked struct {
	pieces []int
	key    string
}

// bench is what the stand-ins know together: requests, results and who was given what.
type bench struct {
	rec    *record
	stages []stageInfo

	mu       sync.Mutex
	requests map[string]asked
	results  map[string]result
	made     int
	// foreign are the runs that were given inputs of other requests, stages or pieces.
	foreign map[string]bool
}

func newBench(rec *record, stages []stageInfo) *bench {
	return &bench{rec: rec, stages: stages, requests: map[string]asked{}, results: map[string]result{}, foreign: map[string]bool{}}
}

func (bch *bench) ask(id string, req asked) {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	bch.requests[id] = req
}

// addResult stores the result of a piece and returns its handle.
func (bch *bench) addResult(now time.Time, address, id string, stage, piece int) string {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	bch.made++
	handle := fmt.Sprintf("%s/%08x%04x", address, uint32(bch.made)*2654435761, bch.made%65536)
	bch.results[handle] = result{id: id, stage: stage, piece: piece, until: now.Add(resultLifetime)}
	return handle
}

func (bch *bench) free(handles []string) {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	for _, han := range handles {
		delete(bch.results, han)
	}
}

// isGone reports whether one of the results doesn't exist any more.
func (bch *bench) isGone(now time.Time, handles []string) bool {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	for _, han := range handles {
		if res, have := bch.results[han]; !have || now.After(res.until) {
			return true
		}
	}
	return false
}

// checkInputs records a run whose inputs are not those of all pieces of the stages, each
// once. All results are there.
func (bch *bench) checkInputs(who, id string, stages []int, handles []string) {
	bch.mu.Lock()
	defer bch.mu.Unlock()
	req := bch.requests[id]
	want, problem := map[[2]int]bool{}, ""
	for _, stg := range stages {
		for pie := range req.pieces[stg] {
			want[[2]int{stg, pie}] = true
		}
	}
	for _, han := range handles {
		res := bch.results[han]
		place := [2]int{res.stage, res.piece}
		switch {
		case res.id != id:
			problem = fmt.Sprintf("%s is the result of request %s, stage %d, piece %d", han, res.id, res.stage, res.piece)
		case !want[place]:
			problem = fmt.Sprintf("%s is stage %d, piece %d, which is not asked for or given twice", han, res.stage, res.piece)
		}
		delete(want, place)
	}
	if len(want) > 0 && problem == "" {
		problem = fmt.Sprintf("%d inputs are missing", len(want))
	}
	if problem != "" {
		bch.foreign[id] = true
		bch.rec.line("MIXED", "%s of request %s: %s", who, id, problem)
	}
}

// finalStages are the stages that no other follows.
func (bch *bench) finalStages() []int {
	followed := map[int]bool{}
	for _, stg := range bch.stages {
		for _, dep := range stg.after {
			followed[dep] = true
		}
	}
	var out []int
	for num := range bch.stages {
		if !followed[num] {
			out = append(out, num)
		}
	}
	return out
}

// stageServer is the state of one stage server: one call at a time, a few wait.
type stageServer struct {
	bch  *bench
	inf  pieceInfo
	turn chan struct{}
	wait chan struct{}
}

func newStageServer(bch *bench, inf pieceInfo) *stageServer {
	return &stageServer{bch: bch, inf: inf, turn: make(chan struct{}, 1), wait: make(chan struct{}, 1+queueLength)}
}

type callItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Inputs []string `json:"inputs"`
}

// work serves stage-run and stage-free.
func (sts *stageServer) work(ctx context.Context, srv *server, _ net.Conn, req *http.Request, body []byte) *response {
	if req.URL.Path == "/-/stage-free" {
		var got struct {
			Handles []string `json:"handles"`
		}
		_ = json.Unmarshal(body, &got)
		sts.bch.free(got.Handles)
		return &response{status: http.StatusOK}
	}
	var got struct {
		Items []callItem `json:"items"`
	}
	if err := json.Unmarshal(body, &got); err != nil || req.URL.Path != "/-/stage-run" {
		return &response{status: http.StatusNotFound}
	}
	select {
	case sts.wait <- struct{}{}:
		defer func() { <-sts.wait }()
	default:
		return &response{status: http.StatusServiceUnavailable, fields: [][2]string{{"X-Lovagestream-Not-Executed", "1"}}}
	}
	select {
	case sts.turn <- struct{}{}:
		defer func() { <-sts.turn }()
	case <-ctx.Done():
		return nil
	}
	items := make([]map[string]string, len(got.Items))
	spent := sts.inf.callTime
	for num, itm := range got.Items {
		if sts.bch.isGone(srv.clk.Now(), itm.Inputs) {
			items[num] = map[string]string{"reason": "gone"}
			continue
		}
		spent += sts.inf.itemTime
		if after := sts.bch.stages[itm.Stage].after; len(after) > 0 {
			sts.bch.checkInputs(fmt.Sprintf("stage %d, piece %d", itm.Stage, itm.Piece), itm.ID, after, itm.Inputs)
		}
	}
	_ = srv.clk.Sleep(ctx, spent)
	for num, itm := range got.Items {
		if items[num] == nil {
			items[num] = map[string]string{"handle": sts.bch.addResult(srv.clk.Now(), srv.address, itm.ID, itm.Stage, itm.Piece)}
			sts.bch.rec.line("piece", "%s made stage %d, piece %d of request %s: %s, from %s", srv.id, itm.Stage, itm.Piece, itm.ID, items[num]["handle"], strings.Join(itm.Inputs, " "))
		} else {
			sts.bch.rec.line("piece-gone", "%s: an input of stage %d, piece %d of request %s is gone", srv.id, itm.Stage, itm.Piece, itm.ID)
		}
	}
	doc, _ := json.Marshal(map[string]any{"items": items})
	return &response{status: http.StatusOK, fields: [][2]string{{"Content-Type", "application/json"}, {"X-Lovagestream-Instance-Load", fmt.Sprintf("%d,%d,1", len(sts.turn), max(0, len(sts.wait)-1))}}, body: doc}
}

const (
	// firstEventTime is how long a model engine reads a prompt, eventGap the pause between
	// its events, streamEvents their number.
	firstEventTime = 100 * time.Millisecond
	eventGap       = 20 * time.Millisecond
	streamEvents   = 17
)

// workEngine serves the requests of a model engine.
func (bch *bench) workEngine(ctx context.Context, srv *server, con net.Conn, req *http.Request, _ []byte) *response {
	id := req.Header.Get("X-Lovagestream-Request-Id")
	notRun := func(status int) *response {
		return &response{status: status, fields: [][2]string{{"X-Lovagestream-Not-Executed", "1"}}}
	}
	if id == "" {
		return notRun(http.StatusBadRequest)
	}
	if len(bch.stages) > 0 {
		val, have := req.Header["X-Lovagestream-Inputs"]
		if !have {
			return notRun(http.StatusBadRequest)
		}
		var handles []string
		if val[0] != "" {
			handles = strings.Split(val[0], ",")
		}
		if bch.isGone(srv.clk.Now(), handles) {
			bch.rec.line("inputs-gone", "%s: an input of request %s is gone", srv.id, id)
			return notRun(http.StatusConflict)
		}
		bch.checkInputs("the run", id, bch.finalStages(), handles)
	}
	bch.rec.line("run", "%s runs request %s", srv.id, id)
	_ = srv.clk.Sleep(ctx, firstEventTime)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Lovagestream-Request-Id: %s\r\nX-Lovagestream-Origin-Signature: %s.%s\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n", id, srv.id, id)
	if _, err := con.Write([]byte(head)); err != nil {
		return nil
	}
	for num := 1; num <= streamEvents; num++ {
		evt := fmt.Sprintf("id: %d\ndata: %s of %s\n\n", num, strings.Repeat("x", 30), id)
		if _, err := fmt.Fprintf(con, "%x\r\n%s\r\n", len(evt), evt); err != nil {
			return nil
		}
		if srv.clk.Sleep(ctx, eventGap) != nil {
			return nil
		}
	}
	if _, err := con.Write([]byte("0\r\n\r\n")); err != nil {
		return nil
	}
	return &response{written: true}
}
