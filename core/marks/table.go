package marks

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"
)

// Table is an immutable collection of evidence; With and its kin return a new one. A nil
// table is empty.
type Table struct {
	prints map[Fingerprint]evidence
	// all holds the newest crashes of all servers, at most maxCrashes, sorted by time.
	all []Crash
	// restarted holds the servers of which it is known that they ended: another one
	// started in their place.
	restarted map[string]bool
	// answered holds when servers last answered after a reported crash.
	answered map[string]time.Time
	// refused holds the fingerprints that were found to crash servers, each with those that
	// a request must have besides to be refused, since all that crashed servers had them.
	refused map[Fingerprint][]Fingerprint
}

// evidence is what is known of one fingerprint.
type evidence struct {
	// crashes are the first and the newest ones after soundAt, at most maxOwnCrashes, sorted
	// by time.
	crashes []Crash
	// soundAt is when a request with the fingerprint was last answered; zero if unknown.
	soundAt time.Time
	// part is set if the fingerprint is one of a part. wholes are some of the requests that
	// were in flight at the crashes, with are the fingerprints that all of them have besides.
	part   bool
	wholes []Fingerprint
	with   []Fingerprint
}

// add returns the evidence with a crash under a request that has the fingerprint.
func (evi evidence) add(fpr Fingerprint, crs Crash, req Request) evidence {
	others := slices.DeleteFunc(slices.Clone(req), func(oth Fingerprint) bool { return oth == fpr })
	if len(evi.crashes) > 0 {
		others = slices.DeleteFunc(others, func(oth Fingerprint) bool { return !slices.Contains(evi.with, oth) })
	}
	evi.with = others
	evi.part = fpr != req.Whole()
	if len(evi.wholes) < maxWholes && !slices.Contains(evi.wholes, req.Whole()) {
		evi.wholes = append(slices.Clone(evi.wholes), req.Whole())
	}
	evi.crashes = AddCrash(evi.crashes, crs)
	return evi
}

// knows reports whether a report adds nothing to the evidence.
func (evi evidence) knows(rep Report) bool {
	return contains(evi.crashes, rep.Crash) && containsAll(rep.Request, evi.with) && (len(evi.wholes) == maxWholes || slices.Contains(evi.wholes, rep.Request.Whole()))
}

// withoutCrashes returns the evidence without some of its crashes.
func (evi evidence) withoutCrashes(drop func(Crash) bool) evidence {
	evi.crashes = slices.DeleteFunc(slices.Clone(evi.crashes), drop)
	if len(evi.crashes) == 0 {
		evi.wholes, evi.with = nil, nil
	}
	return evi
}

// newest returns the time of the newest evidence.
func (evi evidence) newest() time.Time {
	if num := len(evi.crashes); num > 0 {
		return evi.crashes[num-1].at
	}
	return evi.soundAt
}

// Len returns the number of fingerprints with evidence against them.
func (tab *Table) Len() int {
	if tab == nil {
		return 0
	}
	num := 0
	for _, evi := range tab.prints {
		if len(evi.crashes) > 0 {
			num++
		}
	}
	return num
}

// MostCrashes returns the highest number of crashes recorded against one
// fingerprint.
func (tab *Table) MostCrashes() int {
	most := 0
	if tab != nil {
		for _, evi := range tab.prints {
			most = max(most, len(evi.crashes))
		}
	}
	return most
}

// Crashes returns the evidence against a fingerprint.
func (tab *Table) Crashes(fpr Fingerprint) []Crash {
	if tab == nil {
		return nil
	}
	return tab.prints[fpr].crashes
}

// Crashed returns the newest crashes of all servers, sorted by time. The list must not be
// changed.
func (tab *Table) Crashed() []Crash {
	if tab == nil {
		return nil
	}
	return tab.all
}

// Restarted reports whether it is known that a server ended.
func (tab *Table) Restarted(server string) bool { return tab != nil && tab.restarted[server] }

// CrashedBefore reports whether a crash is one that was recorded before a time: a
// request that was sent later was not in flight at it.
func (tab *Table) CrashedBefore(crs Crash, at time.Time) bool {
	if tab == nil {
		return false
	}
	for _, old := range tab.all {
		if old.at.Before(at) && old.duplicates(crs) {
			return true
		}
	}
	return false
}

// CrashedAfter reports whether a crash of a server is recorded after a time.
func (tab *Table) CrashedAfter(server string, since time.Time) bool {
	if tab == nil {
		return false
	}
	for _, crs := range tab.all {
		if crs.server == server && crs.at.After(since) {
			return true
		}
	}
	return false
}

// EndedBefore reports whether the end of a server is recorded before a time.
func (tab *Table) EndedBefore(server string, at time.Time) bool {
	return tab != nil && slices.ContainsFunc(tab.all, func(crs Crash) bool {
		return crs.server == server && crs.ended && crs.at.Before(at)
	})
}

// Suspects returns the fingerprints that one more crash would implicate, sorted.
func (tab *Table) Suspects() []Fingerprint {
	if tab == nil {
		return nil
	}
	var out []Fingerprint
	for fpr, evi := range tab.prints {
		if len(evi.crashes) == CrashLimit-1 {
			out = append(out, fpr)
		}
	}
	slices.Sort(out)
	return out
}

// Suspected reports whether a crash counts against a fingerprint.
func (tab *Table) Suspected(fpr Fingerprint) bool { return len(tab.Crashes(fpr)) > 0 }

// SuspectedBefore reports whether a crash before a time counts against a fingerprint.
func (tab *Table) SuspectedBefore(fpr Fingerprint, at time.Time) bool {
	crashes := tab.Crashes(fpr)
	return len(crashes) > 0 && crashes[0].at.Before(at)
}

// Report is a crash with a request in flight.
type Report struct {
	Request Request
	Crash   Crash
}

// Reports returns the crashes for an instance that knows of none: at most MaxBatch, those of
// the whole requests with the newest ones first.
func (tab *Table) Reports() []Report {
	if tab == nil {
		return nil
	}
	prints := slices.DeleteFunc(slices.Collect(maps.Keys(tab.prints)), func(fpr Fingerprint) bool {
		return tab.prints[fpr].part || !tab.Suspected(fpr)
	})
	slices.SortFunc(prints, func(one, two Fingerprint) int {
		return cmp.Or(tab.prints[two].newest().Compare(tab.prints[one].newest()), cmp.Compare(one, two))
	})
	var out []Report
	for _, fpr := range prints {
		evi := tab.prints[fpr]
		if len(out)+len(evi.crashes) > MaxBatch {
			break
		}
		for _, crs := range evi.crashes {
			out = append(out, Report{Request: append(Request{fpr}, evi.with...), Crash: crs})
		}
	}
	return out
}

// Sounds returns when requests were answered that have one of the fingerprints in the reports.
func (tab *Table) Sounds(list []Report) map[Fingerprint]time.Time {
	out := map[Fingerprint]time.Time{}
	for _, rep := range list {
		for _, fpr := range rep.Request {
			if at := tab.prints[fpr].soundAt; !at.IsZero() {
				out[fpr] = at
			}
		}
	}
	return out
}

// clone returns a copy without expired evidence.
func (tab *Table) clone(now time.Time) *Table {
	nxt := &Table{prints: map[Fingerprint]evidence{}, restarted: map[string]bool{}, answered: map[string]time.Time{}}
	if tab == nil {
		return nxt
	}
	nxt.all = unexpired(now, tab.all)
	for fpr, evi := range tab.prints {
		evi.crashes = unexpired(now, evi.crashes)
		if now.Sub(evi.newest()) < CrashTTL {
			nxt.prints[fpr] = evi
		}
	}
	for _, crs := range nxt.all {
		if tab.restarted[crs.server] {
			nxt.restarted[crs.server] = true
		}
	}
	for srv, at := range tab.answered {
		if now.Sub(at) < CrashTTL {
			nxt.answered[srv] = at
		}
	}
	return nxt
}

// With returns a table with a crash added to some fingerprints and without
// expired crashes.
func (tab *Table) With(now time.Time, crs Crash, prints ...Fingerprint) *Table {
	var list []Report
	for _, fpr := range prints {
		list = append(list, Report{Request: Request{fpr}, Crash: crs})
	}
	return tab.WithReports(now, list)
}

// WithReports returns a table with crashes added and without expired ones.
func (tab *Table) WithReports(now time.Time, list []Report) *Table {
	nxt := tab.clone(now)
	for _, rep := range list {
		nxt.add(rep)
	}
	nxt.trim()
	nxt.judge()
	return nxt
}

// Knows reports whether the table has the crashes already, or evidence to the contrary.
func (tab *Table) Knows(list []Report) bool {
	return tab != nil && !slices.ContainsFunc(list, func(rep Report) bool {
		return slices.ContainsFunc(rep.Request, func(fpr Fingerprint) bool {
			return tab.counts(rep, fpr) && !tab.prints[fpr].knows(rep)
		})
	})
}

// counts reports whether a crash counts against a fingerprint of a request. A later answer may
// show that it doesn't, and only a server that ended counts against parts.
func (tab *Table) counts(rep Report, fpr Fingerprint) bool {
	crs := rep.Crash
	if crs.ended && tab.answered[crs.server].After(crs.at) || !crs.ended && fpr != rep.Request.Whole() {
		return false
	}
	return crs.at.After(tab.prints[fpr].soundAt)
}

func (tab *Table) add(rep Report) {
	for _, fpr := range rep.Request {
		if tab.counts(rep, fpr) {
			tab.prints[fpr] = tab.prints[fpr].add(fpr, tab.record(rep.Crash), rep.Request)
		}
	}
}

// record adds a crash to those of all servers. It returns the first report of it.
func (tab *Table) record(crs Crash) Crash {
	for _, old := range tab.all {
		if old.duplicates(crs) {
			return old
		}
	}
	all := insert(tab.all, crs)
	tab.all = all[max(0, len(all)-maxCrashes):]
	return crs
}

// WithoutExpired returns the table without expired crashes.
func (tab *Table) WithoutExpired(now time.Time) *Table { return tab.With(now, Crash{}) }

// WithSound returns a table in which requests with these fingerprints were answered at a
// time: earlier crashes had other causes. Fingerprints without evidence are left out.
func (tab *Table) WithSound(now, at time.Time, prints ...Fingerprint) *Table {
	nxt := tab.clone(now)
	for _, fpr := range prints {
		evi, have := nxt.prints[fpr]
		if !have || !at.After(evi.soundAt) {
			continue
		}
		evi.soundAt = at
		nxt.prints[fpr] = evi.withoutCrashes(func(crs Crash) bool { return !crs.at.After(at) })
	}
	nxt.judge()
	return nxt
}

// WithAnswer returns a table in which a server answered a request that was sent at a time:
// what was taken for its crash before was none.
func (tab *Table) WithAnswer(now time.Time, server string, at time.Time) *Table {
	nxt := tab.clone(now)
	if len(nxt.answered) >= maxCrashes {
		clear(nxt.answered)
	}
	nxt.answered[server] = at
	wrong := func(crs Crash) bool { return crs.server == server && crs.ended && crs.at.Before(at) }
	nxt.all = slices.DeleteFunc(slices.Clone(nxt.all), wrong)
	for fpr, evi := range nxt.prints {
		if slices.ContainsFunc(evi.crashes, wrong) {
			nxt.prints[fpr] = evi.withoutCrashes(wrong)
		}
	}
	nxt.judge()
	return nxt
}

// WithRestart returns a table in which another server has started in the place of one that
// crashed.
func (tab *Table) WithRestart(now time.Time, server string) *Table {
	nxt := tab.clone(now)
	nxt.restarted[server] = true
	nxt.judge()
	return nxt
}

// unexpired returns the crashes that have not expired. It does not modify its
// argument.
func unexpired(now time.Time, crashes []Crash) []Crash {
	for i, crs := range crashes {
		if now.Sub(crs.at) < CrashTTL {
			if i == 0 {
				return crashes
			}
			return crashes[i:]
		}
	}
	return nil
}

// AddCrash returns evidence with one more crash, sorted by time, of which it keeps the first
// and the newest ones. It does not modify its argument.
func AddCrash(crashes []Crash, crs Crash) []Crash {
	all := insert(crashes, crs)
	if len(all) > maxOwnCrashes {
		all = slices.Delete(all, maxOwnCrashes/2, maxOwnCrashes/2+1)
	}
	return all
}

// insert returns the crashes with one more, sorted by time.
func insert(crashes []Crash, crs Crash) []Crash {
	all := make([]Crash, 0, len(crashes)+1)
	for _, old := range crashes {
		if old.duplicates(crs) {
			return crashes
		}
		all = append(all, old)
	}
	all = append(all, crs)
	sort.SliceStable(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	return all
}

// trim drops the fingerprints whose newest evidence is oldest.
func (tab *Table) trim() {
	if len(tab.prints) <= MaxFingerprints {
		return
	}
	prints := slices.Collect(maps.Keys(tab.prints))
	sort.Slice(prints, func(i, j int) bool {
		left, right := tab.prints[prints[i]].newest(), tab.prints[prints[j]].newest()
		return left.Before(right) || (left.Equal(right) && prints[i] < prints[j])
	})
	for _, fpr := range prints[:len(prints)-MaxFingerprints] {
		delete(tab.prints, fpr)
	}
}
