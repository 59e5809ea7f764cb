package edge

import (
	"time"

	"lovagestream/core/stock"
	"lovagestream/io/lines"
)

// evEvacuations carries records of evacuated zones from the store.
type evEvacuations struct {
	records  []stock.Record
	revision stock.Revision
	full     bool
}

func (evt evEvacuations) apply(ctl *Control, now time.Time) {
	records := evt.records
	if evt.full {
		records = append(records, ctl.missingZones(evt)...)
	}
	ctl.observeEra(now, evt.revision.Era())
	var applied []stock.Record
	for _, rec := range records {
		if rec.Removed && ctl.holdsRemovals(now) {
			ctl.registry.DeferRemoval(rec.Entry.ID, rec.Revision, ctl.storeBack.Add(removalHoldTime))
			continue
		}
		if ctl.putRecord(now, rec, "store") {
			applied = append(applied, rec)
		}
	}
	ctl.forward(applied, "")
}

// missingZones returns removals of the evacuations that a full read doesn't list.
func (ctl *Control) missingZones(evt evEvacuations) []stock.Record {
	listed := map[string]bool{}
	for _, rec := range evt.records {
		if zone, ok := rec.EvacuatedZone(); ok {
			listed[zone] = true
		}
	}
	var out []stock.Record
	for _, zone := range ctl.registry.MissingZones(listed, evt.revision) {
		out = append(out, stock.NewEvacuation(zone, evt.revision, true))
	}
	return out
}

// logEvacuation logs the change of a zone and the number of its servers.
func (ctl *Control) logEvacuation(zone string, rec stock.Record, got stock.Change, from string) {
	kind := map[stock.Change]string{stock.Applied: "zone-evacuated", stock.Removed: "zone-taken-back", stock.Full: "zone-no-room"}[got]
	num := 0
	for _, ent := range ctl.live {
		if ent.Zone == zone {
			num++
		}
	}
	ctl.log.Log(kind, lines.Fields{"zone": zone, "servers": num, "revision": rec.Revision, "from": from})
}
