package drill

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"lovagestream/core"
	"lovagestream/io/clock"
	"lovagestream/io/group"
	"lovagestream/io/logs"
	"lovagestream/io/loop"
	"lovagestream/io/origin"
	"lovagestream/io/peer"
	"lovagestream/io/watch"
)

const (
	tickPeriod   = 100 * time.Millisecond
	demandPeriod = 100 * time.Millisecond
)

// node is the control plane of one entry instance.
type node struct {
	id        string
	zone      string
	lis       net.Listener
	lop       *loop.Loop
	transport *peer.Transport
	rdr       *watch.Reader
	grp       *group.Group
	dead      bool

	mu sync.Mutex
	// demand is the callers' demand in requests per second by account.
	demand map[string]float64
	// shares is this instance's share of each account's contract, from 0 to 1, as last
	// decided by the control loop.
	shares map[string]float64
}

func (fle *Fleet) newNode(i int, platform string) (*node, error) {
	nod := &node{id: fmt.Sprintf("entry-%d", i+1), zone: fle.zone(i), demand: map[string]float64{}, shares: map[string]float64{}}
	ip := fmt.Sprintf("127.0.%d.1", 1+i%fle.opt.zones)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	nod.lis = &listener{Listener: lis, net: fle.net, zone: ip}
	clk := clock.System{}
	log := logs.Discard()
	self := core.NewInstance(nod.id, core.Entry, nod.address(), nod.zone, "", core.Live)
	opt := core.NewOptions(self, fle.opt.seed+uint64(i)).WithIncarnation(uint64(clk.Now().UnixNano()))
	nod.lop = loop.New(core.New(opt), clk, nod)
	var sec peer.Security = peer.Insecure{}
	if fle.keyFile != "" {
		if sec, err = peer.NewSharedKey(nod.id, fle.keyFile, clk); err != nil {
			return nil, err
		}
	}
	ori := origin.New(ip)
	nod.transport = peer.New(nod.id, nod.lis, ori, sec, nod.lop, clk, log.For("peer"))
	nod.rdr = watch.NewReader(platform, origin.SourceAddr{}, nod.lop, clk, log.For("watch"), fle.opt.seed+uint64(i))
	return nod, nil
}

func (nod *node) address() string { return nod.lis.Addr().String() }

var _ loop.Handler = (*node)(nil)

// Handle carries out the decisions of the control plane.
func (nod *node) Handle(dec core.Decision) {
	switch dcs := dec.(type) {
	case core.Send:
		nod.transport.Send(dcs)
	case core.Shares:
		nod.mu.Lock()
		defer nod.mu.Unlock()
		for _, prt := range dcs.Accounts() {
			nod.shares[prt.Account()] = prt.Share()
		}
	}
}

func (nod *node) run(ctx context.Context) {
	nod.grp = group.New(ctx)
	nod.grp.Go(func(gctx context.Context) error { return nod.lop.Run(gctx, tickPeriod) })
	nod.grp.Go(nod.rdr.PollConfig)
	nod.grp.Go(nod.rdr.PollInstances)
	nod.grp.Go(nod.transport.Start)
	nod.grp.Go(func(gctx context.Context) error {
		clock.System{}.Every(gctx, demandPeriod, func(time.Time) { nod.postDemand(gctx) })
		return nil
	})
}

func (nod *node) postDemand(ctx context.Context) {
	nod.mu.Lock()
	list := make([]core.AccountDemand, 0, len(nod.demand))
	for account, rate := range nod.demand {
		list = append(list, core.NewAccountDemand(account, rate, 0, 0))
	}
	nod.mu.Unlock()
	_ = nod.lop.Post(ctx, core.NewDemandReported(list))
}

func (nod *node) setDemand(account string, rate float64) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.demand[account] = rate
}

func (nod *node) share(account string) float64 {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return nod.shares[account]
}

// kill stops the instance without notice to the others.
func (nod *node) kill() {
	if nod.dead {
		return
	}
	nod.dead = true
	nod.grp.Stop()
	_ = nod.transport.Stop(context.Background())
	_ = nod.grp.Wait()
}

// post posts an event to the instance's control loop.
func (nod *node) post(ctx context.Context, ev core.Event) { _ = nod.lop.Post(ctx, ev) }

func (oge *outage) handler() http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if oge.active.Load() {
			oge.refused.Add(1)
			panic(http.ErrAbortHandler)
		}
		oge.han.ServeHTTP(wri, req)
	})
}
