package serve

import (
	"context"
	"expvar"
	"time"

	"lovagestream/io/logs"
	"lovagestream/io/stage"
)

// publishTraffic registers the metrics of requests, stage calls and connections.
func (nod *Node) publishTraffic(own *expvar.Map) {
	nod.mtr.Publish(own)
	own.Set("requests-open", expvar.Func(func() any { return nod.frt.Requests() }))
	own.Set("streams-open", expvar.Func(func() any { return nod.frt.Streams() }))
	own.Set("calls-failed", expvar.Func(func() any {
		counts := map[stage.Fault]int64{}
		for _, fau := range stage.Faults() {
			counts[fau] = nod.cli.FaultCount(fau)
		}
		return counts
	}))
	own.Set("cancels-sent", expvar.Func(func() any { sent, _ := nod.cli.Cancels(); return sent }))
	own.Set("cancels-dropped", expvar.Func(func() any { _, dropped := nod.cli.Cancels(); return dropped }))
	own.Set("connections", expvar.Func(func() any { return nod.connections() }))
}

// Mismatches returns how many replies were dropped because they belonged to
// another call.
func (nod *Node) Mismatches() int64 { return nod.cli.Mismatches() }

// connectionBody counts the connections to one backend server.
type connectionBody struct {
	Open   int64 `json:"open"`
	Silent int64 `json:"silent"`
	Total  int64 `json:"silent-total"`
}

// connections returns the counts of the servers that ever had a silent connection,
// by server identity.
func (nod *Node) connections() map[string]connectionBody {
	bods := map[string]connectionBody{}
	vie := nod.lop.View()
	if vie.Config() == nil {
		return bods
	}
	for _, poo := range vie.Config().Pools() {
		for _, srv := range vie.Servers(poo.Name()) {
			lks := srv.Connections()
			if lks.TotalSilent() > 0 {
				bods[srv.ID()] = connectionBody{Open: lks.Open(), Silent: lks.Silent(), Total: lks.TotalSilent()}
			}
		}
	}
	return bods
}

// closeTraces exports the remaining spans, with a timeout for slow collectors.
func (nod *Node) closeTraces() {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := nod.trc.Close(ctx); err != nil {
		nod.log.Warn("Could not export the remaining spans.", logs.Fields{"error": err})
	}
}
