package test

import (
	"context"
	"fmt"
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
