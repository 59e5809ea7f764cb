package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"lovagestream/io/clock"
	"lovagestream/io/group"
)

// The dose of the site's trouble `garble`, `extra late`: share 0.6 of the servers hand out
// x 0.03 of their answers a second time, for_s 5.
const (
	garbleShare = 0.6
	garbleDose  = 0.03
	garbleTime  = 5 * time.Second
	garblePause = 3 * time.Second
	garbleTimes = 8
)

// garbler decides which answers come a second time.
type garbler struct {
	mu sync.Mutex
	on bool
	// chosen are the servers of the present spell.
	chosen map[string]bool
	// answers and second count the answers of chosen servers, and those to come twice.
	answers int
	second  int
	rnd     *rand.Rand
}

// begin begins a spell at garbleShare of the servers, the first ones of the list.
func (gar *garbler) begin(ids []string) {
	gar.mu.Lock()
	defer gar.mu.Unlock()
	gar.on, gar.chosen = true, map[string]bool{}
	for _, id := range ids[:int(garbleShare*float64(len(ids)))] {
		gar.chosen[id] = true
	}
}

// shuffled returns the servers in another order.
func (gar *garbler) shuffled(ids []string) []string {
	gar.mu.Lock()
	defer gar.mu.Unlock()
	out := slices.Clone(ids)
	gar.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (gar *garbler) end() {
	gar.mu.Lock()
	defer gar.mu.Unlock()
	gar.on = false
}

// repeats draws whether an answer of a server comes a second time, never more than
// garbleDose of the answers so far.
func (gar *garbler) repeats(srv *server) bool {
	gar.mu.Lock()
	defer gar.mu.Unlock()
	if !gar.on || !gar.chosen[srv.id] {
		return false
	}
	gar.answers++
	if gar.rnd.Float64() >= 2*garbleDose || float64(gar.second+1) > garbleDose*float64(gar.answers) {
		return false
	}
	gar.second++
	return true
}

// isOn reports whether a spell lasts.
func (gar *garbler) isOn() bool {
	gar.mu.Lock()
	defer gar.mu.Unlock()
	return gar.on
}

const (
	routeHost    = "screens.example"
	routePrefix  = "/screen/"
	routeTimeout = 8 * time.Second
)

// lateStageAnswer plays stage servers whose answers come a second time, late.
func lateStageAnswer(ctx context.Context, path string, trouble bool) (broken bool, err error) {
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

	// The services, stages and figures of the site's applicant-screen.
	stages := []stageInfo{{service: "billing-desk", size: 8000}, {service: "meter-reads", after: []int{0}, size: 60000}, {service: "outage-notice", after: []int{1}, size: 6000}}
	infos := map[string]pieceInfo{
		"billing-desk":  {batch: 8, callTime: 150 * time.Millisecond, itemTime: 16 * time.Millisecond},
		"meter-reads":   {batch: 18, callTime: 150 * time.Millisecond, itemTime: 7 * time.Millisecond},
		"outage-notice": {batch: 36, callTime: 150 * time.Millisecond, itemTime: 4 * time.Millisecond},
	}
	numbers := map[string]int{"lovage-pool": 6, "billing-desk": 3, "meter-reads": 5, "outage-notice": 5}
	zones := []string{"kilimani-hall", "embakasi-hall", "kasarani-hall"}
	bch := newBench(rec, stages)
	gar := &garbler{rnd: rand.New(rand.NewPCG(uint64(clk.Now().UnixNano()), 1))}
	var stageIDs []string
	for name, num := range numbers {
		for idx := range num {
			srv := &server{id: fmt.Sprintf("i-%s-%d", name, idx+1), service: name, zone: zones[idx%len(zones)], slots: 64, clk: clk, grp: grp, work: bch.workEngine}
			if inf, isStage := infos[name]; isStage {
				srv.slots, srv.work = 1, newStageServer(bch, inf).work
				srv.repeats, srv.repeating = gar.repeats, gar.isOn
				srv.onRepeat = func(srv *server) { rec.line("second-answer", "%s writes the answer before once more", srv.id) }
				stageIDs = append(stageIDs, srv.id)
			}
			if err := srv.listen("127.0.0.1"); err != nil {
				return false, err
			}
			srv.register(sto)
		}
	}
	sto.put("op/config", stageConfig(stages, infos))

	flt, err := newFleet(clk, dir, sto.address, zones, 3)
	if err != nil {
		return false, err
	}
	defer flt.stopAll()
	if err := flt.startAll(grp.Context()); err != nil {
		return false, err
	}

	cli := newClient(clk, rec)
	load := group.New(grp.Context())
	length := garbleTimes*(garbleTime+garblePause) + time.Second
	for num := range 12 {
		load.Go(func(ctx context.Context) error {
			sendScreens(ctx, cli, bch, flt, num, clk.Now().Add(length))
			return nil
		})
	}
	for range garbleTimes {
		_ = clk.Sleep(grp.Context(), garblePause)
		if trouble {
			gar.begin(gar.shuffled(stageIDs))
			rec.line("garble", "begins: %.0f%% of the stage servers, %.0f%% of their answers", 100*garbleShare, 100*garbleDose)
		}
		_ = clk.Sleep(grp.Context(), garbleTime)
		gar.end()
		rec.line("garble", "ends")
	}
	_ = load.Wait()
	rec.line("dose", "%d of %d answers of the chosen servers come twice", gar.second, gar.answers)
	rec.summary("requests sent %d, complete %d; pieces made %d; second answers %d; given foreign inputs: %d inputs in %d requests", rec.count("sent"), rec.count("complete"), rec.count("piece"), rec.count("second-answer"), rec.count("MIXED"), len(bch.foreign))
	if rec.count("complete") == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return rec.count("MIXED") > 0, nil
}

// sendScreens sends requests one after the other until a time.
func sendScreens(ctx context.Context, cli *client, bch *bench, flt *fleet, who int, until time.Time) {
	rnd := rand.New(rand.NewPCG(uint64(who), uint64(until.UnixNano())))
	for num := 0; cli.clk.Now().Before(until) && ctx.Err() == nil; num++ {
		id := fmt.Sprintf("%016x", rnd.Uint64())
		pieces := []int{1, 8, 16}
		bch.ask(id, asked{pieces: pieces, key: id[:12]})
		front := flt.all[rnd.IntN(len(flt.all))].front
		ans := cli.send(ctx, front, "POST", routePrefix+id, routeHost, id, routeTimeout, map[string]string{
			"X-Lovagestream-Model": "m", "X-Lovagestream-Token-Counts": "1460,80", "X-Lovagestream-Prefix-Hash": "5c1e07a2:800," + id[:8] + ":660",
			"X-Lovagestream-Pieces": "1,8,16", "X-Lovagestream-Piece-Key": id[:12],
		}, "prompt")
		if ans.status == 200 && ans.err == nil && ans.signed {
			cli.rec.line("complete", "%s", id)
		}
		_ = cli.clk.Sleep(ctx, time.Duration(200+rnd.IntN(600))*time.Millisecond)
	}
}

// stageConfig is the configuration with one route, which has stages.
func stageConfig(stages []stageInfo, infos map[string]pieceInfo) []byte {
	var list, services []map[string]any
	for _, stg := range stages {
		after := stg.after
		if after == nil {
			after = []int{}
		}
		list = append(list, map[string]any{"service": stg.service, "after": after, "sizeBytes": stg.size})
	}
	services = append(services, map[string]any{"name": "lovage-pool", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvCapacityTokens": 635275, "kvTokenBytes": 18432, "linkMbps": 180000, "handleS": 5}})
	for name, inf := range infos {
		services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false, "pieces": map[string]any{
			"slots": 1, "queue": queueLength, "batch": inf.batch, "callMs": inf.callTime.Milliseconds(), "itemMs": inf.itemTime.Milliseconds(), "headroomMb": 56, "handleS": resultLifetime.Seconds(), "linkMbps": 10000,
		}})
	}
	doc, _ := json.Marshal(map[string]any{
		"version": 7, "services": services,
		"routes": []map[string]any{{"name": "r-screen", "host": routeHost, "prefix": routePrefix, "routeKind": "streaming", "timeoutMs": routeTimeout.Milliseconds(), "targetLatencyMs": 1700, "targetGapMs": 200, "priority": 0, "service": "lovage-pool", "maxAttempts": 2, "stages": list, "allowAnonymous": false, "stickySessions": true, "streamResume": true}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return doc
}
