package edge

import "time"

// stats is what the control thread leaves for metrics, a few times a second.
type stats struct {
	version int64
	servers int
	waiters int
	jobs    int
	desk    string
	live    int
	known   int
	reads   bool
	// storeAge is how long ago the store answered; negative if never.
	storeAge time.Duration
	verified bool
}

// state makes the stats of a moment.
func (ctl *Control) state(now time.Time) *stats {
	sta := &stats{servers: len(ctl.live), waiters: len(ctl.waiters), jobs: ctl.desk.Jobs(), desk: ctl.deskAt, reads: ctl.Duty().Reads, storeAge: -1, verified: ctl.verified}
	sta.live, sta.known = ctl.mem.Count(now)
	if ctl.tab != nil {
		sta.version = ctl.tab.Version()
	}
	if !ctl.storeAt.IsZero() {
		sta.storeAge = now.Sub(ctl.storeAt)
	}
	return sta
}

// gauges publishes what is read when it is asked for.
func (nod *Node) gauges() {
	read := func(name string, fun func(*stats) any) {
		nod.gau.Read(name, func() any { return fun(nod.ctl.stats.Load()) })
	}
	read("config-version", func(sta *stats) any { return sta.version })
	read("servers", func(sta *stats) any { return sta.servers })
	read("requests-handed-over", func(sta *stats) any { return sta.waiters })
	read("desk-jobs", func(sta *stats) any { return sta.jobs })
	read("desk", func(sta *stats) any { return sta.desk })
	read("members-live", func(sta *stats) any { return sta.live })
	read("members-known", func(sta *stats) any { return sta.known })
	read("reads-store", func(sta *stats) any { return sta.reads })
	read("store-age-ms", func(sta *stats) any { return sta.storeAge.Milliseconds() })
	read("verified", func(sta *stats) any { return sta.verified })
	nod.gau.Read("requests-active", func() any { return nod.srv.Active() })
	nod.gau.Read("connections-made", func() any { return nod.poo.Made() })
	nod.gau.Read("peer-bytes-waiting", func() any { return nod.hub.Held() })
	nod.gau.Read("peer-messages-left-out", func() any { return nod.hub.Dropped() })
	nod.gau.Read("lines-left-out", func() any { return nod.prt.Lines.Dropped() })
}
