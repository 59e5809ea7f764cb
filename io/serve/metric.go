package serve

import (
	"expvar"

	"lovagestream/core/fleet"
)

// metrics holds the metrics of the process's entry instances, keyed by identity.
var metrics = expvar.NewMap("lovagestream")

// publishMetrics registers this instance's metrics. Their values are read from the
// control state's view on every request for them.
func (nod *Node) publishMetrics() {
	own := &expvar.Map{}
	set := func(name string, read func() int64) {
		own.Set(name, expvar.Func(func() any { return read() }))
	}
	set("config-revision", func() int64 {
		if doc := nod.lop.View().Config(); doc != nil {
			return int64(doc.Revision())
		}
		return 0
	})
	set("config-refused", nod.han.refused.Load)
	set("config-accepted", nod.han.accepted.Load)
	set("list-revision", func() int64 { return int64(nod.lop.View().ListRevision()) })
	set("pauses", nod.han.pauses.Load)
	set("platform-calls", nod.rdr.Calls)
	for _, stt := range []fleet.State{fleet.Live, fleet.Suspected, fleet.Leaving, fleet.Gone} {
		set("members-"+string(stt), func() int64 { return nod.countMembers(stt) })
	}
	set("peer-links", func() int64 { return int64(nod.trn.Links()) })
	cnt := nod.trn.Counts()
	set("peer-sent-messages", cnt.SentMessages)
	set("peer-sent-bytes", cnt.SentBytes)
	set("peer-received-messages", cnt.ReceivedMessages)
	set("peer-received-bytes", cnt.ReceivedBytes)
	set("peer-dropped-messages", cnt.Dropped)
	set("peer-refused", cnt.Refused)
	nod.publishTraffic(own)
	metrics.Set(nod.set.Instance(), own)
}

func (nod *Node) countMembers(sta fleet.State) int64 {
	num := int64(0)
	for _, mem := range nod.lop.View().Members() {
		if mem.State() == sta {
			num++
		}
	}
	return num
}
