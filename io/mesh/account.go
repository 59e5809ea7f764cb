package mesh

import (
	"math"
	"time"

	"lovagestream/core/fair"
	"lovagestream/io/mesh/wire"
)

// milliServers is the number of units of demand, use and share on the wire for
// one server.
const milliServers = 1000

// toMilli converts a number of servers; one that is negative or not a number
// becomes 0.
func toMilli(num float64) uint64 {
	if !(num > 0) {
		return 0
	}
	return uint64(min(math.Round(num*milliServers), math.MaxInt32))
}

func fromMilli(num uint64) float64 { return float64(min(num, math.MaxInt32)) / milliServers }

func fromStanding(sta fair.Standing) *wire.Standing {
	return &wire.Standing{Account: sta.Account, Resource: sta.Resource, Demand: toMilli(sta.Demand), Use: toMilli(sta.Use), Share: toMilli(sta.Share), Wait: uint64(max(0, sta.Wait.Milliseconds()))}
}

// fromDecided encodes the standing of a decision; decisions that aren't due to an
// account's share have none.
func fromDecided(sta fair.Standing) *wire.Standing {
	if sta.Resource == "" {
		return nil
	}
	return fromStanding(sta)
}

func toStanding(sta *wire.Standing) fair.Standing {
	return fair.Standing{
		Account: sta.GetAccount(), Resource: sta.GetResource(), Demand: fromMilli(sta.GetDemand()), Use: fromMilli(sta.GetUse()),
		Share: fromMilli(sta.GetShare()), Wait: time.Duration(min(sta.GetWait(), math.MaxInt32)) * time.Millisecond,
	}
}

func (msg Standings) encode(time.Time) *wire.Envelope {
	out := &wire.Standings{}
	for _, sta := range msg.List {
		out.List = append(out.List, fromStanding(sta))
	}
	return &wire.Envelope{Body: &wire.Envelope_Standings{Standings: out}}
}

// toStandings drops what exceeds the bound of a notice.
func toStandings(msg *wire.Standings) Message {
	out := Standings{}
	for _, sta := range msg.GetList()[:min(len(msg.GetList()), fair.MaxNoticeRows)] {
		out.List = append(out.List, toStanding(sta))
	}
	return out
}

func (msg Usages) encode(time.Time) *wire.Envelope {
	out := &wire.Usages{}
	for _, usg := range msg.List {
		one := &wire.Usage{Resource: usg.Resource, Served: toMilli(usg.Served), Refused: toMilli(usg.Refused), Rest: toMilli(usg.Rest)}
		for _, row := range usg.Rows {
			// All rows are of the report's resource.
			row.Resource = ""
			one.Rows = append(one.Rows, fromStanding(row))
		}
		out.List = append(out.List, one)
	}
	return &wire.Envelope{Body: &wire.Envelope_Usages{Usages: out}}
}

// toUsages drops what exceeds the bounds of a report.
func toUsages(msg *wire.Usages) Message {
	out := Usages{}
	for _, one := range msg.GetList()[:min(len(msg.GetList()), fair.MaxReported)] {
		usg := fair.Usage{Resource: one.GetResource(), Served: fromMilli(one.GetServed()), Refused: fromMilli(one.GetRefused()), Rest: fromMilli(one.GetRest())}
		for _, row := range one.GetRows()[:min(len(one.GetRows()), fair.MaxUsageRows)] {
			sta := toStanding(row)
			sta.Resource = usg.Resource
			usg.Rows = append(usg.Rows, sta)
		}
		out.List = append(out.List, usg)
	}
	return out
}
