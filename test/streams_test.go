package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/io/group"
	"lovagestream/platform/fakes"
)

const (
	streams = 24
	// eventGap is the time between two of a stream's four events.
	eventGap = 700 * time.Millisecond
)

// streamCase is what happens between the break of streams that began at one software version
// and their callers' return.
type streamCase struct {
	// unnamed is set if callers don't name their streams.
	unnamed bool
	// routeTimeout is the route's after the streams began.
	routeTimeout time.Duration
	// released is set if the servers of the first version end, and half released if only one
	// of three does.
	released, halfReleased bool
	// denied are the instances that the store turns away from before the release on.
	denied []int
	// disturb breaks the streams off, and returns once the instances are back.
	disturb func(t *testing.T, flt *fleet)
	// goOn is set if the streams must go on.
	goOn bool
}

// answer is a caller's answer.
type answer struct {
	status   int
	events   int
	versions []string
}

// Streams that are taken up after kills, suspensions and releases must not be joined from two
// versions, and go on where an instance has kept the record and a server the version.
func TestStreamsKeepTheirVersion(t *testing.T) {
	kill := func(nums ...int) func(*testing.T, *fleet) {
		return func(t *testing.T, flt *fleet) {
			for _, num := range nums {
				flt.processes[num].Kill()
			}
			require.NoError(t, flt.clk.Sleep(flt.grp.Context(), 300*time.Millisecond))
			for _, num := range nums {
				flt.start(t, num)
			}
			flt.waitReady(t)
		}
	}
	suspend := func(nums ...int) func(*testing.T, *fleet) {
		return func(_ *testing.T, flt *fleet) {
			for _, num := range nums {
				flt.processes[num].Pause()
			}
			_ = flt.clk.Sleep(flt.grp.Context(), 2500*time.Millisecond)
			for _, num := range nums {
				flt.processes[num].Resume()
			}
		}
	}
	nothing := func(*testing.T, *fleet) {}
	for name, tst := range map[string]streamCase{
		"all killed, not named":                      {unnamed: true, released: true, disturb: kill(0, 1, 2)},
		"all killed, named, a shorter timeout":       {routeTimeout: time.Second, released: true, disturb: kill(0, 1, 2)},
		"one killed, not named":                      {unnamed: true, released: true, disturb: kill(0)},
		"all suspended, not named":                   {unnamed: true, released: true, disturb: suspend(0, 1, 2)},
		"all suspended, named, a shorter timeout":    {routeTimeout: time.Second, released: true, disturb: suspend(0, 1, 2)},
		"one killed during a release":                {halfReleased: true, disturb: kill(0), goOn: true},
		"two killed during a release, not named":     {halfReleased: true, unnamed: true, disturb: kill(0, 1), goOn: true},
		"one suspended during a release, not named":  {halfReleased: true, unnamed: true, disturb: suspend(0), goOn: true},
		"all suspended during a release":             {halfReleased: true, disturb: suspend(0, 1, 2), goOn: true},
		"all cut from the store, not named":          {released: true, unnamed: true, denied: []int{0, 1, 2}, disturb: nothing},
		"one cut from the store during a release":    {halfReleased: true, denied: []int{0}, disturb: nothing, goOn: true},
		"one cut from the store, another killed":     {released: true, unnamed: true, denied: []int{0}, disturb: kill(1)},
		"one killed, one version alone, not named":   {unnamed: true, disturb: kill(0), goOn: true},
		"two killed, one version alone, a long time": {routeTimeout: 20 * time.Second, disturb: kill(0, 1), goOn: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tst.play(t)
		})
	}
}

func (tst streamCase) play(t *testing.T) {
	flt := newFleet(t, 3, 3, 1)
	flt.publish(1+1, callerTime)
	for _, srv := range flt.servers {
		srv.TagEvents()
		srv.SetEventGap(eventGap)
	}
	require.NoError(t, flt.clk.Sleep(flt.grp.Context(), time.Second))
	start := flt.clk.Now()
	ctx, leave := context.WithCancel(flt.grp.Context())
	defer leave()
	var firsts []answer
	var wg sync.WaitGroup
	wg.Add(1)
	flt.grp.Go(func(context.Context) error {
		defer wg.Done()
		firsts = flt.stream(ctx, "r", func(num int) fakes.CallerRequest { return streamRequest(num, callerTime) })
		return nil
	})
	require.NoError(t, flt.clk.Sleep(ctx, eventGap*3/2))
	for _, num := range tst.denied {
		flt.sto.Deny(flt.instances[num].IP, true)
	}
	old := flt.servers
	if tst.released || tst.halfReleased {
		for num := range 3 {
			srv := fakes.NewServer(fmt.Sprint("later-", num), "model", fmt.Sprint("zone-", num), "model", flt.jou)
			t.Cleanup(srv.Close)
			srv.SetVersion("v2")
			srv.TagEvents()
			flt.sto.Put("servers/"+srv.ID, srv.Entry("ready", 1))
		}
	}
	if tst.halfReleased {
		old = old[:1]
	}
	if tst.routeTimeout > 0 {
		flt.publish(3, tst.routeTimeout)
	}
	if tst.released || tst.halfReleased {
		for _, srv := range old {
			flt.sto.Put("servers/"+srv.ID, srv.Entry("draining", 2))
		}
		require.NoError(t, flt.clk.Sleep(ctx, 300*time.Millisecond))
		for _, srv := range old {
			flt.sto.Delete("servers/" + srv.ID)
			srv.Close()
		}
	}
	leave()
	tst.disturb(t, flt)
	wg.Wait()
	_ = flt.clk.Sleep(flt.grp.Context(), flt.clk.Now().Sub(start.Add(5*time.Second))*-1)
	left := callerTime - flt.clk.Now().Sub(start)
	seconds := flt.stream(flt.grp.Context(), "t", func(num int) fakes.CallerRequest {
		req := streamRequest(num, left)
		if req.LastEvent = firsts[num].events; !tst.unnamed {
			req.Resumes = fmt.Sprint("r", num)
		}
		return req
	})
	broken, goOn, joined := 0, 0, 0
	for num, ans := range firsts {
		if ans.events == 0 || ans.events == 4 {
			continue
		}
		broken++
		if seconds[num].status == http.StatusOK && seconds[num].events == 4-ans.events {
			goOn++
		}
		versions := slices.Concat(ans.versions, seconds[num].versions)
		slices.Sort(versions)
		if len(slices.Compact(versions)) > 1 {
			joined++
		}
	}
	t.Logf("%d of %d streams taken up, %s before their callers' time was over: %d went on, %d joined", broken, streams, left, goOn, joined)
	require.GreaterOrEqual(t, broken, 12)
	require.Zero(t, joined)
	if tst.goOn {
		require.Equal(t, broken, goOn)
	}
}

// publish publishes a configuration with a route whose streams may be resumed.
func (flt *fleet) publish(version int, timeout time.Duration) {
	cfg := fakes.Config{Version: version, Timeout: timeout, MaxAttempts: 1, IdleTimeout: 10 * time.Second, HeaderTimeout: 3 * time.Second, MaxBody: 1 << 20, Routes: []fakes.Route{{Name: "chat", Kind: "resumable", Service: "model"}}}
	flt.sto.Put("op/config", cfg.Document())
}

func streamRequest(num int, left time.Duration) fakes.CallerRequest {
	return fakes.CallerRequest{Path: fmt.Sprint("/chat/", num), Body: fmt.Sprint("prompt ", num), Deadline: left, Parts: fmt.Sprintf("aaaa:20,%x:20", num+1)}
}

// stream sends requests to all instances in turn, each on its connection, and returns what
// callers got until the context ended.
func (flt *fleet) stream(ctx context.Context, prefix string, build func(num int) fakes.CallerRequest) []answer {
	out := make([]answer, streams)
	grp := group.New(ctx)
	for num := range streams {
		req := build(num)
		req.ID = fmt.Sprint(prefix, num)
		grp.Go(func(ctx context.Context) error {
			hrq, err := req.Request(ctx, flt.instances[(num+len(prefix)+int(prefix[0]))%len(flt.instances)].CallerAddr())
			if err != nil {
				return err
			}
			tra := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
			res, err := tra.RoundTrip(hrq)
			if err != nil {
				return nil
			}
			defer func() { _ = res.Body.Close() }()
			body, _ := io.ReadAll(res.Body)
			if out[num].status = res.StatusCode; res.StatusCode == http.StatusOK {
				text, versions := fakes.CutTags(string(body))
				out[num].events, out[num].versions = strings.Count(text, "\n\n"), versions
			}
			return nil
		})
	}
	_ = grp.Wait()
	return out
}
