package stock

import "strings"

const (
	// evacuationID is the prefix of the IDs of evacuation records.
	evacuationID = "evacuation:"
	// maxZones bounds the zones with evacuation records.
	maxZones = 256
)

// NewEvacuation returns the record of an operator's evacuation of a zone: the
// zone's servers get no requests until the evacuation is removed. Evacuation
// records are ordered and compared like those of servers.
func NewEvacuation(zone string, revision Revision, removed bool) Record {
	return Record{Revision: revision, Removed: removed, Entry: Entry{ID: evacuationID + zone, Zone: zone}}
}

// Reserved reports whether an ID is reserved for evacuation records and cannot
// be a server's.
func Reserved(id string) bool { return strings.HasPrefix(id, evacuationID) }

// EvacuatedZone returns the zone of an evacuation record; false for records of
// servers.
func (rec *Record) EvacuatedZone() (zone string, ok bool) {
	return strings.CutPrefix(rec.Entry.ID, evacuationID)
}

// EvacuatedZones returns the zones whose servers get no requests.
func (reg *Registry) EvacuatedZones() map[string]bool {
	out := map[string]bool{}
	for zone := range reg.zones {
		if !reg.byID[evacuationID+zone].Removed {
			out[zone] = true
		}
	}
	return out
}

// MissingZones returns the evacuated zones that a full listing at a revision
// does not name although the registry has them from an earlier revision.
func (reg *Registry) MissingZones(listed map[string]bool, revision Revision) []string {
	var out []string
	for zone := range reg.EvacuatedZones() {
		if !listed[zone] && reg.byID[evacuationID+zone].Revision < revision {
			out = append(out, zone)
		}
	}
	return out
}
