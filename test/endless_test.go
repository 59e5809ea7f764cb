package test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/platform/fakes"
)

// addServers starts servers of a service, each with the mode of its place in modes, if there
// is one.
func (flt *fleet) addServers(t *testing.T, service, kind string, num int, modes ...string) {
	for idx := range num {
		srv := fakes.NewServer(fmt.Sprint(service, "-of-", num, "-", idx), service, "zone-0", kind, flt.jou)
		t.Cleanup(srv.Close)
		if idx < len(modes) {
			srv.SetMode(modes[idx])
		}
		flt.sto.Put("servers/"+srv.ID, srv.Entry("ready", 1))
	}
}

// Bytes without end from a third of the servers must neither end an instance for want of
// memory nor fail requests that the others could serve.
func TestThirdOfTheServersAnswersWithoutEnd(t *testing.T) {
	flt := newFleet(t, 1, 1, 1)
	flt.addServers(t, "plain", "plain", 6, "endless-fields", "endless-body")
	flt.addServers(t, "first", "stage", 6, "endless-line", "endless-body")
	flt.addServers(t, "second", "stage", 6, "endless-status", "endless-interim")
	flt.addServers(t, "model", "model", 8, "endless-field", "endless-event", "endless-fields")
	cfg := fakes.Config{Version: 2, Timeout: callerTime, MaxAttempts: 3, IdleTimeout: 10 * time.Second, HeaderTimeout: 3 * time.Second, MaxBody: 1 << 20}
	flt.routes = []string{"often", "resume"}
	cfg.Routes = []fakes.Route{{Name: "often", Kind: "often", Service: "plain"}, {Name: "resume", Kind: "resume", Service: "model"}}
	flt.sto.Put("op/config", cfg.Document())
	require.NoError(t, flt.clk.Sleep(context.Background(), time.Second))
	flt.body = "p"
	outcomes := flt.load(200, 0, 30*time.Second)
	share, _, mean := served(outcomes)
	peak, err := flt.processes[0].PeakMemory()
	require.NoError(t, err)
	t.Logf("served %.3f of %d %v, mean %s, peak of the memory %d MB", share, len(outcomes), statuses(outcomes), mean, peak>>20)
	require.Less(t, peak, int64(150<<20))
	require.GreaterOrEqual(t, share, 0.9)
}

// drip opens connections to an instance and sends begin on each, and rest again and again after
// a pause, until the context ends. It returns the number of connections that were opened.
func (flt *fleet) drip(ctx context.Context, num int, begin string, rest string, pause time.Duration) int {
	opened := 0
	for range num {
		con, err := net.DialTimeout("tcp", flt.instances[0].CallerAddr(), time.Second)
		if err != nil {
			continue
		}
		opened++
		flt.grp.Go(func(gctx context.Context) error {
			defer context.AfterFunc(gctx, func() { _ = con.Close() })()
			defer func() { _ = con.Close() }()
			_, err := io.WriteString(con, begin)
			for err == nil && flt.clk.Sleep(ctx, pause) == nil {
				_, err = io.WriteString(con, rest)
			}
			return nil
		})
	}
	return opened
}

// Callers that send bodies which they don't end must not take an instance's memory, nor hold
// up the requests of others.
func TestCallersWhoseBodiesDoNotEnd(t *testing.T) {
	flt := newFleet(t, 1, 6, 1)
	const size = 4 << 20
	cfg := fakes.Config{Version: 2, Timeout: callerTime, MaxAttempts: 2, IdleTimeout: 10 * time.Second, HeaderTimeout: 3 * time.Second, MaxBody: size, Routes: []fakes.Route{{Name: "bare", Kind: "bare", Service: "model"}}}
	flt.sto.Put("op/config", cfg.Document())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	require.NoError(t, flt.clk.Sleep(ctx, time.Second))
	head := fmt.Sprintf("POST /bare/x HTTP/1.1\r\nHost: %s\r\nX-Lovagestream-Request-Id: x\r\nContent-Length: %d\r\n\r\n", fakes.Host, size)
	flt.drip(ctx, 150, head+strings.Repeat("x", size-1000), "x", 100*time.Millisecond)
	outcomes := flt.load(100, 0, 6*time.Second)
	share, _, mean := served(outcomes)
	peak, err := flt.processes[0].PeakMemory()
	require.NoError(t, err)
	t.Logf("served %.3f of %d %v, mean %s, peak of the memory %d MB", share, len(outcomes), statuses(outcomes), mean, peak>>20)
	require.Less(t, peak, int64(memory))
	require.GreaterOrEqual(t, share, 0.9)
}

// memory is an instance's memory, in bytes.
const memory = 284 << 20

// Callers that open connections and send heads which they don't end, or nothing, must leave an
// instance descriptors for the requests of others.
func TestCallersWhoseHeadsDoNotEnd(t *testing.T) {
	flt := newFleet(t, 1, 6, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	idle := flt.drip(ctx, descriptors/2, "", "", time.Minute)
	heads := flt.drip(ctx, descriptors/2, "POST /bare/x HTTP/1.1\r\nA: ", "x", time.Second)
	outcomes := flt.load(100, 0, 6*time.Second)
	share, unread, mean := served(outcomes)
	peak, err := flt.processes[0].PeakMemory()
	require.NoError(t, err)
	t.Logf("%d idle connections and %d heads; served %.3f of %d %v, %d unread, mean %s, peak of the memory %d MB", idle, heads, share, len(outcomes), statuses(outcomes), unread, mean, peak>>20)
	require.Less(t, peak, int64(memory))
	require.GreaterOrEqual(t, share, 0.9)
}
