package field

import (
	"bytes"
	"context"
	"io"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"lovagestream/platform/fakes"
	"lovagestream/stand/world"
)

// A short run with real processes and faults finds no problem.
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, world.Build(dir))
	var out bytes.Buffer
	rep, err := Run(context.Background(), Options{Seed: 1, Duration: 14 * time.Second, InstancesPerZone: 1, Rate: 20, KeepAlive: 12, ThinkTime: 100 * time.Millisecond, FaultInterval: 1500 * time.Millisecond, Dir: dir, Out: &out})
	require.NoError(t, err)
	require.Empty(t, rep.Problems, "%s", out.String())
	require.Greater(t, rep.Served, rep.Requests/2)
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	require.NoError(t, err)
	require.Len(t, logs, 3)
}

// soundRun returns a finished run without problems, with one request to each route.
func soundRun() (*Cluster, map[string]*request) {
	jou := &fakes.Journal{}
	ins := &instance{}
	clu := &Cluster{jou: jou, servers: map[string]*server{}, faults: map[string]int{}}
	for _, poo := range pools {
		clu.servers[poo.service] = &server{fake: &fakes.Server{}, service: poo.service, kind: poo.kind}
	}
	start := time.Now()
	clu.changes = []configChange{{at: start.Add(-time.Minute), service: "plain"}, {at: start.Add(-10 * time.Second), service: "other"}}
	sends := map[string]*request{}
	service := map[string]string{"once": "plain", "often": "other", "bare": "model", "llm": "model", "resume": "model"}
	for _, rte := range routes {
		rqt := &request{id: rte, route: rte, body: "b", instance: ins, start: start, end: start.Add(time.Second), status: 200, signer: service[rte], answer: fakes.ResponseBody(rte, rte), done: true}
		sends[rte] = rqt
		clu.requests = append(clu.requests, rqt)
		run := fakes.Run{Server: service[rte], ID: rte, Method: "POST", Target: "/" + rte + "/x?n=" + rte, Body: "b", Ended: start}
		if rte == "llm" || rte == "resume" {
			jou.Record(fakes.Run{Server: "second", ID: rte, Handle: "h-" + rte, Target: "stage 1 piece 0"})
			run = run.WithInputs("h-" + rte)
		}
		jou.Record(run)
	}
	return clu, sends
}

// The demo must send requests that are served, on every route of every instance.
func TestDemoServesEveryRoute(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, world.Build(dir))
	var out bytes.Buffer
	require.NoError(t, Demo(context.Background(), Options{Seed: 97, InstancesPerZone: 1, Dir: dir, Out: &out}, false), "%s", out.String())
	require.Contains(t, out.String(), "15 requests: 15 served")
}

// The coordinator that an instance knows is taken from its log.
func TestCoordinatorOf(t *testing.T) {
	require.Equal(t, "a:1", coordinatorOf("a:1", `{"msg":"start","told":"a:1"}`))
	require.Equal(t, "c:3", coordinatorOf("a:1", `{"from":"a:1","level":"info","msg":"coordinator-changed","time":"x","to":"b:2"}
{"from":"b:2","level":"info","msg":"coordinator-changed","time":"x","to":"c:3"}
`))
}

// closeConnection closes a request's reused connection in a planned stop, before
// the response.
func closeConnection(clu *Cluster, rqt *request) {
	rqt.keepAlive, rqt.err, rqt.status, rqt.signer, rqt.answer = true, io.ErrUnexpectedEOF, 0, "", ""
	clu.disturbances = append(clu.disturbances, disturbance{from: rqt.start, planned: true, instance: rqt.instance})
}

// announceLeaving makes a server's response announce that it leaves and sends the
// server another request some time later.
func announceLeaving(clu *Cluster, sends map[string]*request, later time.Duration) {
	one := sends["often"]
	ser := clu.servers["other"]
	ser.announcedAt = one.start.Add(-time.Minute)
	for _, rqt := range sends {
		rqt.start, rqt.end = rqt.start.Add(-later), rqt.start.Add(-later)
	}
	two := *one
	two.id, two.start, two.end = "often-2", one.start.Add(later), one.start.Add(later)
	two.answer = fakes.ResponseBody("often", two.id)
	clu.requests = append(clu.requests, &two)
	clu.jou.Record(fakes.Run{Server: "other", ID: two.id, Method: "POST", Target: "/often/x?n=" + two.id, Body: "b", Ended: two.end})
}

// requestPause makes a server ask for a pause and get some requests a given time
// after that.
func requestPause(clu *Cluster, after time.Duration, num int) {
	ser := clu.servers["other"].fake
	now := time.Now().Add(-10 * time.Second)
	ser.AddArrival(fakes.Arrival{ID: "often", At: now, RetryAfter: 3 * time.Second})
	for range num {
		ser.AddArrival(fakes.Arrival{ID: "often", At: now.Add(after)})
	}
}

// The checker finds each planted problem and none in a sound run.
func TestCheckerFindsProblems(t *testing.T) {
	run := func(id, server string) fakes.Run {
		return fakes.Run{Server: server, ID: id, Method: "POST", Target: "/" + id + "/x?n=" + id, Body: "b", Ended: time.Now()}
	}
	for name, cas := range map[string]struct {
		found string
		plant func(clu *Cluster, sends map[string]*request)
	}{
		"sound":                {"", func(*Cluster, map[string]*request) {}},
		"ran twice":            {"TWICE", func(clu *Cluster, _ map[string]*request) { clu.jou.Record(run("once", "plain")) }},
		"repeatable ran twice": {"", func(clu *Cluster, _ map[string]*request) { clu.jou.Record(run("often", "other")) }},
		"refused and ran":      {"REFUSED", func(_ *Cluster, sends map[string]*request) { sends["once"].status, sends["once"].signer = 503, "" }},
		"never sent":           {"UNASKED", func(clu *Cluster, _ map[string]*request) { clu.jou.Record(run("strange", "plain")) }},
		"body changed": {"UNASKED", func(clu *Cluster, _ map[string]*request) {
			odd := run("often", "other")
			odd.Body = "c"
			clu.jou.Record(odd)
		}},
		"two versions": {"ORDER", func(_ *Cluster, sends map[string]*request) { sends["resume"].versions = []string{"v1", "v1", "v2"} }},
		"two versions over two attempts": {"ORDER", func(clu *Cluster, sends map[string]*request) {
			first := sends["resume"]
			first.versions = []string{"v1", "v1"}
			on := *first
			on.id, on.resumes, on.last, on.versions, on.answer = "resume-on", first, 2, []string{"v2", "v2"}, fakes.EventsAfter("resume-on", 2)
			clu.requests = append(clu.requests, &on)
			clu.jou.Record(fakes.Run{Server: "second", ID: on.id, Handle: "h-on", Target: "stage 1 piece 0"})
			again := run(on.id, "model").WithInputs("h-on")
			again.Target = first.target()
			clu.jou.Record(again)
		}},
		"answer of another request": {"MIXED", func(_ *Cluster, sends map[string]*request) {
			sends["once"].answer = fakes.ResponseBody("once", "often")
		}},
		"short as complete":        {"MIXED", func(_ *Cluster, sends map[string]*request) { sends["bare"].answer = sends["bare"].answer[:40] }},
		"unsigned":                 {"MIXED", func(_ *Cluster, sends map[string]*request) { sends["bare"].signer = "" }},
		"signed by another server": {"MIXED", func(_ *Cluster, sends map[string]*request) { sends["bare"].signer = "other" }},
		"input of another request": {"MIXED", func(clu *Cluster, _ map[string]*request) { clu.jou.Record(run("resume", "model").WithInputs("h-llm")) }},
		"no input":                 {"MIXED", func(clu *Cluster, _ map[string]*request) { clu.jou.Record(run("resume", "model")) }},
		"events out of order": {"ORDER", func(_ *Cluster, sends map[string]*request) {
			rqt := sends["bare"]
			rqt.answer, rqt.err = fakes.ResponseBody("bare", "bare")[20:], errors.New("cut")
		}},
		"wrong service": {"ROUTE", func(clu *Cluster, _ map[string]*request) { clu.jou.Record(run("often", "model")) }},
		"older version": {"CONFIG", func(clu *Cluster, _ map[string]*request) { clu.jou.Record(run("often", "plain")) }},
		"older version, store down": {"", func(clu *Cluster, _ map[string]*request) {
			clu.jou.Record(run("often", "plain"))
			clu.disturbances = append(clu.disturbances, disturbance{from: time.Now().Add(-5 * time.Second)})
		}},
		"leaving for long": {"DRAIN", func(clu *Cluster, _ map[string]*request) {
			clu.servers["plain"].leavingSince = time.Now().Add(-5 * time.Second)
		}},
		"leaving just now": {"", func(clu *Cluster, _ map[string]*request) {
			clu.servers["plain"].leavingSince = time.Now().Add(-time.Second)
		}},
		"sent to long after the announcement": {"DRAIN", func(clu *Cluster, sends map[string]*request) { announceLeaving(clu, sends, 5*time.Second) }},
		"announced just now":                  {"", func(clu *Cluster, sends map[string]*request) { announceLeaving(clu, sends, 2*time.Second) }},
		"announced, then stopped": {"", func(clu *Cluster, sends map[string]*request) {
			announceLeaving(clu, sends, 5*time.Second)
			clu.disturbances = append(clu.disturbances, disturbance{from: time.Now().Add(-2 * time.Second), planned: true, instance: sends["often"].instance})
		}},
		"zone evacuated long ago": {"EVAC", func(clu *Cluster, _ map[string]*request) {
			clu.evacuations = []evacuation{{from: time.Now().Add(-5 * time.Second)}}
		}},
		"zone evacuated just now": {"", func(clu *Cluster, _ map[string]*request) {
			clu.evacuations = []evacuation{{from: time.Now().Add(-time.Second)}}
		}},
		"evacuation over": {"", func(clu *Cluster, _ map[string]*request) {
			clu.evacuations = []evacuation{{from: time.Now().Add(-9 * time.Second), to: time.Now().Add(-time.Second)}}
		}},
		"sent to in a pause":            {"BUDGET", func(clu *Cluster, _ map[string]*request) { requestPause(clu, time.Second, 3) }},
		"sent to twice in a pause":      {"", func(clu *Cluster, _ map[string]*request) { requestPause(clu, time.Second, 2) }},
		"in flight when a pause begins": {"", func(clu *Cluster, _ map[string]*request) { requestPause(clu, fakes.PauseGrace/2, 3) }},
		"connection reset":              {"LOST", func(_ *Cluster, sends map[string]*request) { sends["once"].err = errors.New("reset") }},
		"past its timeout": {"CONFIG", func(_ *Cluster, sends map[string]*request) {
			sends["once"].end = sends["once"].start.Add(5 * time.Second)
		}},
		"no outcome":                          {"LOST", func(_ *Cluster, sends map[string]*request) { sends["once"].done = false }},
		"ran in a planned stop, not answered": {"LOST", func(clu *Cluster, sends map[string]*request) { closeConnection(clu, sends["once"]) }},
		"read in a planned stop, not answered": {"LOST", func(clu *Cluster, sends map[string]*request) {
			closeConnection(clu, sends["once"])
			clu.jou = &fakes.Journal{}
		}},
		"not read in a planned stop": {"", func(clu *Cluster, sends map[string]*request) {
			closeConnection(clu, sends["once"])
			sends["once"].unread = true
			clu.jou, clu.requests = &fakes.Journal{}, clu.requests[:1]
		}},
		"not read without a stop": {"LOST", func(clu *Cluster, sends map[string]*request) {
			closeConnection(clu, sends["once"])
			sends["once"].unread = true
			clu.jou, clu.requests, clu.disturbances = &fakes.Journal{}, clu.requests[:1], nil
		}},
		"ran in a planned stop, store down": {"", func(clu *Cluster, sends map[string]*request) {
			closeConnection(clu, sends["once"])
			clu.disturbances = append(clu.disturbances, disturbance{from: time.Now().Add(-5 * time.Second)})
		}},
		"ran after the caller canceled": {"GONE", func(_ *Cluster, sends map[string]*request) {
			sends["bare"].canceledAt = sends["bare"].start.Add(-2 * time.Second)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			clu, sends := soundRun()
			cas.plant(clu, sends)
			rep := clu.report()
			if cas.found == "" {
				require.Empty(t, rep.Problems)
				return
			}
			require.Contains(t, strings.Join(rep.Problems, "\n"), cas.found+" ")
		})
	}
}
