package test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/io/clock"
	"lovagestream/io/group"
	"lovagestream/platform/fakes"
	"lovagestream/stand/world"
)

const (
	// callerTime is how long a caller waits for its answer, readTime how long it waits
	// until its request is read.
	callerTime = 8 * time.Second
	readTime   = time.Second
	// requestBytes is the size of a request's body: a long prompt.
	requestBytes = 17 << 10
	// descriptors is how many file descriptors an instance may have.
	descriptors = 4100
)

// fleet is entry instances of the published platform as processes of their own, each
// held to its share of a processor, and fakes of everything around them.
type fleet struct {
	grp       *group.Group
	clk       clock.System
	sto       *fakes.Store
	jou       *fakes.Journal
	instances []fakes.InstanceSettings
	processes []*world.Process
	servers   []*fakes.Server
	body      string
	// routes are those that requests are for, in turn.
	routes []string

	mu       sync.Mutex
	requests int
	outcomes []outcome
}

// outcome is how one request of a caller ended.
type outcome struct {
	at time.Time
	// unread is the number of tries whose connection was refused or closed unread.
	unread int
	// status is that of the first try that was read; 0 if none was, or if its answer
	// was not whole. took is the time from the caller's first try to its end.
	status int
	took   time.Duration
}

// newFleet starts instances with the given share of a processor each, and servers of
// model engines, and waits until all instances know each other.
func newFleet(t *testing.T, instances, servers int, share float64) *fleet {
	flt := &fleet{grp: group.New(context.Background()), sto: fakes.NewStore(), jou: &fakes.Journal{}, body: strings.Repeat("p", requestBytes), routes: []string{"bare"}}
	network, held, err := fakes.ClaimNetwork(1)
	require.NoError(t, err)
	t.Cleanup(func() {
		for num, prc := range flt.processes {
			prc.Kill()
			if dir := os.Getenv("FLEET_LOGS"); dir != "" {
				_ = os.WriteFile(filepath.Join(dir, flt.instances[num].Name+".log"), []byte(prc.Log()), 0o600)
			}
		}
		flt.grp.Stop()
		_ = flt.grp.Wait()
		flt.sto.Close()
		_ = held.Close()
	})
	cfg := fakes.Config{Version: 1, Timeout: callerTime, MaxAttempts: 2, IdleTimeout: 10 * time.Second, HeaderTimeout: 3 * time.Second, MaxBody: 1 << 20, Routes: []fakes.Route{{Name: "bare", Kind: "bare", Service: "model"}}}
	flt.sto.Put("op/config", cfg.Document())
	for num := range servers {
		srv := fakes.NewServer(fmt.Sprint("model-", num), "model", fmt.Sprint("zone-", num%3), "model", flt.jou)
		srv.SetEventGap(50 * time.Millisecond)
		flt.servers = append(flt.servers, srv)
		t.Cleanup(srv.Close)
		flt.sto.Put("servers/"+srv.ID, srv.Entry("ready", 1))
	}
	var seeds []string
	for num := range instances {
		set := fakes.InstanceSettings{Name: fmt.Sprint("entry-", num+1), IP: fmt.Sprintf("127.%d.%d.%d", network, 1+num%3, 1+num/3), Zone: fmt.Sprint("zone-", num%3), StoreAddr: flt.sto.Address(), Grace: callerTime, Seeds: seeds}
		flt.instances, flt.processes = append(flt.instances, set), append(flt.processes, nil)
		flt.start(t, num)
		if len(seeds) < 3 {
			seeds = append(seeds, set.PeerAddr())
		}
	}
	flt.waitReady(t)
	for _, prc := range flt.processes {
		prc.LimitCPU(share)
	}
	require.NoError(t, flt.clk.Sleep(flt.grp.Context(), 3*time.Second))
	return flt
}

// start starts the process of an instance.
func (flt *fleet) start(t *testing.T, num int) {
	set := flt.instances[num]
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, set.File(), 0o600))
	prc, _, err := world.Start(set.Name, "/bin/sh", []string{"-c", fmt.Sprintf(`ulimit -n %d && GOMAXPROCS=1 exec "$0" edge -settings "$1"`, descriptors), filepath.Join(binaries, "lovagestream"), path}, regexp.MustCompile(`"msg":"start"`))
	require.NoError(t, err)
	flt.processes[num] = prc
}

// waitReady waits until all instances are ready.
func (flt *fleet) waitReady(t *testing.T) {
	for _, set := range flt.instances {
		require.Eventually(t, func() bool {
			res, err := http.Get("http://" + set.ReadyAddr() + "/")
			if err != nil {
				return false
			}
			_ = res.Body.Close()
			return res.StatusCode == http.StatusOK
		}, 20*time.Second, 50*time.Millisecond)
	}
}

// load sends requests, each on a new connection, at a rate a second. A share of them
// goes to the first instance, the others to all in turn. It returns their outcomes.
func (flt *fleet) load(rate, share float64, wait time.Duration) []outcome {
	rng := rand.New(rand.NewPCG(1, 1))
	flt.outcomes = nil
	ctx := flt.grp.Context()
	var wg sync.WaitGroup
	start := flt.clk.Now()
	for due := start; due.Sub(start) < wait; due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
		_ = flt.clk.Sleep(ctx, due.Sub(flt.clk.Now()))
		flt.requests++
		num, first, second := flt.requests, flt.requests%len(flt.instances), 1+rng.IntN(max(1, len(flt.instances)-1))
		if rng.Float64() < share {
			first = 0
		}
		wg.Add(1)
		flt.grp.Go(func(ctx context.Context) error {
			defer wg.Done()
			got := flt.send(ctx, num, first, (first+second)%len(flt.instances))
			flt.mu.Lock()
			defer flt.mu.Unlock()
			flt.outcomes = append(flt.outcomes, got)
			return nil
		})
	}
	wg.Wait()
	return flt.outcomes
}

// send sends a request to the first instance and, if it is not read there, to the second.
func (flt *fleet) send(ctx context.Context, num, first, second int) outcome {
	start := flt.clk.Now()
	out := outcome{at: start}
	for try, to := range []int{first, second} {
		id := fmt.Sprintf("r%d-%d", num, try)
		status, err := flt.try(ctx, id, flt.routes[num%len(flt.routes)], to, callerTime-flt.clk.Now().Sub(start))
		out.took = flt.clk.Now().Sub(start)
		if err == nil {
			out.status = status
			return out
		}
		if len(flt.jou.ByRequest(id)) > 0 {
			return out
		}
		out.unread++
	}
	return out
}

func (flt *fleet) try(ctx context.Context, id, route string, to int, left time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	call := fakes.CallerRequest{ID: id, Path: "/" + route + "/" + id, Body: flt.body, Deadline: left, Parts: "aaaa:20," + id[1:strings.Index(id, "-")] + ":20"}
	req, err := call.Request(ctx, flt.instances[to].CallerAddr())
	if err != nil {
		return 0, err
	}
	// A new transport for each try opens a new connection.
	tra := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	res, err := tra.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.ReadAll(res.Body)
	return res.StatusCode, err
}

// served returns the share of the requests that were served at the first try that was
// read, the number of tries that were not read, and the mean time of those served.
func served(outcomes []outcome) (share float64, unread int, mean time.Duration) {
	num := 0
	for _, out := range outcomes {
		unread += out.unread
		if out.status == http.StatusOK {
			num++
			mean += out.took
		}
	}
	return float64(num) / float64(len(outcomes)), unread, mean / time.Duration(max(num, 1))
}

// statuses counts the outcomes by status.
func statuses(outcomes []outcome) map[int]int {
	num := map[int]int{}
	for _, out := range outcomes {
		num[out.status]++
	}
	return num
}

// Most new connections at an instance short of processor time must not lose the requests
// that other instances could serve.
func TestMostNewConnectionsAtAnInstanceShortOfProcessorTime(t *testing.T) {
	flt := newFleet(t, 12, 18, 0.1)
	before := flt.load(275, 0, 6*time.Second)
	start := flt.clk.Now()
	during := flt.load(275, 0.9, 12*time.Second)
	var later []outcome
	for _, out := range during {
		if out.at.Sub(start) > 4*time.Second {
			later = append(later, out)
		}
	}
	was, _, meanBefore := served(before)
	now, unread, mean := served(later)
	t.Logf("before: %.3f of %d %v, mean %s; later: %.3f of %d %v, %d tries unread, mean %s", was, len(before), statuses(before), meanBefore, now, len(later), statuses(later), unread, mean)
	require.Greater(t, was, 0.95)
	require.GreaterOrEqual(t, now, 0.75*was)
}
