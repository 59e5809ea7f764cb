package edge

import (
	"time"

	"lovagestream/core/rates"
	"lovagestream/core/stock"
	"lovagestream/core/table"
	"lovagestream/io/lines"
)

// coldMargin is added to the time for which a server says that it is cold, since
// the server computed that time when it wrote its entry.
const coldMargin = 500 * time.Millisecond

// markMaybeCold marks a server that says it is cold, or that started after this
// instance knew its service. The servers that a new instance reads first may have
// been running for a long time.
func (ctl *Control) markMaybeCold(now time.Time, ent stock.Entry, started bool) {
	left := ent.ColdStart
	if started && ctl.knowsService(ent.Service) {
		left = max(left, ctl.warmUpTime(ent.Service))
	}
	if left > 0 {
		ctl.coldUntil[ent.ID] = now.Add(left + coldMargin)
	}
}

// markZoneMaybeCold marks the servers of a zone whose evacuation is revoked: they
// got no requests meanwhile and may have restarted.
func (ctl *Control) markZoneMaybeCold(now time.Time, zone string) {
	for _, ent := range ctl.registry.Live() {
		if left := ctl.warmUpTime(ent.Service); ent.Zone == zone && left > 0 {
			ctl.coldUntil[ent.ID] = now.Add(left + coldMargin)
		}
	}
}

// knowsService reports whether the service had servers in use before.
func (ctl *Control) knowsService(service string) bool { return len(ctl.servers[service]) > 0 }

// service returns the configuration of a service, or nil.
func (ctl *Control) service(name string) *table.Service {
	if ctl.tab == nil {
		return nil
	}
	return ctl.tab.Service(name)
}

// warmUpTime returns how long a service's servers are cold after a start; 0 if
// cold servers of the service have no rate limit.
func (ctl *Control) warmUpTime(service string) time.Duration {
	if svc := ctl.service(service); svc != nil && svc.ColdStartRate > 0 {
		return svc.ColdStart
	}
	return 0
}

// limitColdServers sets the rate limits of servers that may be cold.
func (ctl *Control) limitColdServers(now time.Time) {
	if len(ctl.coldUntil) == 0 {
		return
	}
	services := map[string]int{}
	for _, ent := range ctl.live {
		until, may := ctl.coldUntil[ent.ID]
		svc := ctl.service(ent.Service)
		if !may || svc == nil {
			continue
		}
		if ctl.limits.limiter.AddColdStart(now, rates.ColdStart{Server: ent.ID, Rate: svc.ColdStartRate, Until: until}) {
			services[ent.Service]++
		}
	}
	for name, num := range services {
		ctl.log.Log("servers-cold", lines.Fields{"service": name, "servers": num, "all": ctl.limits.limiter.ColdServers()})
	}
}

// expireColdServers forgets servers that are warm by now.
func (ctl *Control) expireColdServers(now time.Time) {
	for id, until := range ctl.coldUntil {
		if !now.Before(until) {
			delete(ctl.coldUntil, id)
		}
	}
	if warm := ctl.limits.limiter.ExpireColdStarts(now); len(warm) > 0 {
		ctl.log.Log("servers-warm", lines.Fields{"servers": len(warm), "cold": ctl.limits.limiter.ColdServers()})
		ctl.viewStale = true
	}
}
