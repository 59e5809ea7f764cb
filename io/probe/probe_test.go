package probe

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core"
	"lovagestream/core/marks"
	"lovagestream/core/route"
	"lovagestream/io/clock"
)

// dialTo returns a function that reaches the addresses in alive, and is refused by all others.
func dialTo(t *testing.T, alive ...string) Dial {
	return func(_ context.Context, _, address string) (net.Conn, error) {
		for _, adr := range alive {
			if adr == address {
				one, two := net.Pipe()
				t.Cleanup(func() { _ = one.Close(); _ = two.Close() })
				return one, nil
			}
		}
		return nil, syscall.ECONNREFUSED
	}
}

// The path to a zone is lost, so that all of its servers look crashed. No request may be taken for
// the cause. One whose neighbors live, or are known to have crashed, has crashed.
func TestLostZoneIsNoCrash(t *testing.T) {
	model, other := route.NewServer("m1", "m1:1", "z", "model"), route.NewServer("m2", "m2:1", "z", "model")
	encoder, far := route.NewServer("e1", "e1:1", "z", "encoder"), route.NewServer("m3", "m3:1", "y", "model")
	at := time.Unix(1000, 0)
	crashed := (*marks.Table)(nil).WithReports(at, []marks.Report{{Request: marks.Request{1}, Crash: marks.NewCrash("m2", at)}})
	for name, tst := range map[string]struct {
		servers []*route.Server
		tab     *marks.Table
		alive   []string
		lost    bool
	}{
		"all of the zone are gone":          {[]*route.Server{model, other, encoder, far}, nil, []string{"m3:1"}, true},
		"another pool's server is there":    {[]*route.Server{model, other, encoder}, nil, []string{"e1:1"}, false},
		"another server of its pool is":     {[]*route.Server{model, other}, nil, []string{"m2:1"}, false},
		"it is alone in its zone":           {[]*route.Server{model, far}, nil, []string{"m3:1"}, false},
		"the other one crashed before":      {[]*route.Server{model, other}, crashed, nil, false},
		"the other one crashed, all others": {[]*route.Server{model, other, encoder}, crashed, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			var views []core.ServerView
			for _, srv := range tst.servers {
				views = append(views, core.NewServerView(srv, core.ServerLive))
			}
			prb := New(dialTo(t, tst.alive...), nil, clock.System{})
			require.Equal(t, tst.lost, prb.pathLost(context.Background(), neighbors(model, views, tst.tab)))
		})
	}
}

// posts counts the events of a control thread that knows nothing.
type posts struct{ num int }

func (pst *posts) View() *core.View { return &core.View{} }

func (pst *posts) Post(context.Context, core.Event) error {
	pst.num++
	return nil
}

// A server that leaves exits with a request in flight. The request must not be taken for the cause.
func TestPlannedExitIsNoCrash(t *testing.T) {
	for name, leaving := range map[string]bool{"leaves": true, "crashes": false} {
		t.Run(name, func(t *testing.T) {
			srv, pst := route.NewServer("m1", "m1:1", "z", "model"), &posts{}
			if leaving {
				srv.MarkLeaving()
			}
			_, crashed := New(dialTo(t), pst, clock.System{}).CheckCrash(context.Background(), srv, 1, time.Unix(1000, 0))
			require.Equal(t, !leaving, crashed)
			require.Equal(t, !leaving, pst.num == 1)
		})
	}
}
