package marks

import (
	"maps"
	"slices"
	"time"
)

// Load pattern: several poison requests come by turns to a service of a few servers, all of
// which are down for a second or two at a time. Each crash has one cause, but also other
// requests on board, and around it others of the poison requests crash other servers.

// Load pattern: requests with one prompt part, no two alike, crash one model server after the
// other. Each crash has one cause, but the other parts of these requests and those of sound
// ones are on board as well, the first parts of prompts at almost each crash.

// judge decides which fingerprints are refused.
//
// The fingerprint with the most crashes is judged first, and explains them: they count no
// more against the others on board, nor as crashes of a common cause. Among equal ones the
// most specific is taken, then the one that was seen in the most different requests; those
// that are equal in all are judged alike.
func (tab *Table) judge() {
	tab.refused = map[Fingerprint][]Fingerprint{}
	explained := map[Crash]bool{}
	for tab.judgeNext(explained) {
	}
}

// judgeNext refuses the fingerprints with the most unexplained crashes among those that are
// implicated. It reports whether there was one.
func (tab *Table) judgeNext(explained map[Crash]bool) bool {
	most := 0
	var next []Fingerprint
	for fpr, evi := range tab.prints {
		if _, have := tab.refused[fpr]; have || len(evi.crashes) < CrashLimit {
			continue
		}
		num := evi.unexplained(explained)
		if num < max(evi.limit(), most) || tab.hasCommonCause(evi.crashes, explained) {
			continue
		}
		if num > most {
			most, next = num, nil
		}
		next = append(next, fpr)
	}
	next = tab.mostSpecific(next)
	for _, fpr := range next {
		tab.refused[fpr] = tab.conditions(fpr)
	}
	for _, fpr := range next {
		for _, crs := range tab.prints[fpr].crashes {
			explained[crs] = true
		}
	}
	return len(next) > 0
}

// mostSpecific returns the fingerprints that no other of them explains better: one that all
// requests with the other have, but not the other way round, is only more common.
func (tab *Table) mostSpecific(list []Fingerprint) []Fingerprint {
	wholes := 0
	specific := slices.DeleteFunc(slices.Clone(list), func(fpr Fingerprint) bool {
		return slices.ContainsFunc(list, func(oth Fingerprint) bool {
			return slices.Contains(tab.prints[oth].with, fpr) && !slices.Contains(tab.prints[fpr].with, oth)
		})
	})
	for _, fpr := range specific {
		wholes = max(wholes, len(tab.prints[fpr].wholes))
	}
	return slices.DeleteFunc(specific, func(fpr Fingerprint) bool { return len(tab.prints[fpr].wholes) < wholes })
}

// conditions returns the fingerprints that all requests had which crashed servers, besides
// the given one, without those that were answered since: any of them may be the cause.
func (tab *Table) conditions(fpr Fingerprint) []Fingerprint {
	evi := tab.prints[fpr]
	return slices.DeleteFunc(slices.Clone(evi.with), func(oth Fingerprint) bool {
		return !tab.prints[oth].soundAt.Before(evi.crashes[0].at)
	})
}

// limit returns how many crashes implicate the fingerprint. A part that was answered before is
// less likely to be the cause of others that follow, as when a whole service goes down.
func (evi evidence) limit() int {
	if evi.part && !evi.soundAt.IsZero() {
		return 2 * CrashLimit
	}
	return CrashLimit
}

// unexplained counts the crashes that nothing else explains. Of a part's crashes, those at
// the same time count once.
func (evi evidence) unexplained(explained map[Crash]bool) int {
	if evi.part {
		return countApart(evi.crashes, explained, partSpacing)
	}
	return countApart(evi.crashes, explained, 0)
}

// countApart counts the crashes that nothing else explains and that lie at least spacing apart.
func countApart(crashes []Crash, explained map[Crash]bool, spacing time.Duration) int {
	num := 0
	var last time.Time
	for _, crs := range crashes {
		if explained[crs] || num > 0 && crs.at.Sub(last) < spacing {
			continue
		}
		num++
		last = crs.at
	}
	return num
}

// Refused reports whether a request without known parts is refused.
func (tab *Table) Refused(now time.Time, fpr Fingerprint) bool {
	_, refused := tab.Cause(now, Request{fpr})
	return refused
}

// Cause returns the fingerprint for which a request is refused, and false if it is not.
func (tab *Table) Cause(now time.Time, req Request) (Fingerprint, bool) {
	if tab == nil || len(tab.refused) == 0 {
		return 0, false
	}
	for _, fpr := range req {
		conditions, have := tab.refused[fpr]
		if have && len(unexpired(now, tab.prints[fpr].crashes)) >= CrashLimit && containsAll(req, conditions) {
			return fpr, true
		}
	}
	return 0, false
}

// Verdict says why requests with a fingerprint are refused.
type Verdict struct {
	Fingerprint Fingerprint
	// Part is set if the fingerprint is one of a part of prompts.
	Part bool
	// Conditions are the fingerprints that a refused request must have besides.
	Conditions []Fingerprint
	// Crashes are the newest crashes under such requests.
	Crashes []Crash
}

// Verdicts returns the fingerprints for which requests are refused, sorted.
func (tab *Table) Verdicts() []Verdict {
	if tab == nil {
		return nil
	}
	var out []Verdict
	for _, fpr := range slices.Sorted(maps.Keys(tab.refused)) {
		ver, _ := tab.Verdict(fpr)
		out = append(out, ver)
	}
	return out
}

// Verdict returns why requests with a fingerprint are refused, and false if they are not.
func (tab *Table) Verdict(fpr Fingerprint) (Verdict, bool) {
	if tab == nil {
		return Verdict{}, false
	}
	conditions, have := tab.refused[fpr]
	evi := tab.prints[fpr]
	return Verdict{Fingerprint: fpr, Part: evi.part, Conditions: conditions, Crashes: evi.crashes}, have
}

// Refusals returns the number of fingerprints that are refused.
func (tab *Table) Refusals() int {
	if tab == nil {
		return 0
	}
	return len(tab.refused)
}

func containsAll(req Request, list []Fingerprint) bool {
	return !slices.ContainsFunc(list, func(fpr Fingerprint) bool { return !slices.Contains(req, fpr) })
}

// Implicated reports whether the evidence implicates a request: it was in
// flight at CrashLimit crashes that no other request explains, and no more other
// servers crashed around that time without it. A lost zone or a failed device on
// the network path takes many servers at once, and a request that is retried on
// one after the other meets several of these crashes. crashes may hold more than
// the table does.
func (tab *Table) Implicated(now time.Time, fpr Fingerprint, crashes []Crash) bool {
	if tab.Refused(now, fpr) {
		return true
	}
	crashes = unexpired(now, crashes)
	explained := tab.explained()
	if len(crashes) < CrashLimit || (evidence{crashes: crashes}).unexplained(explained) < CrashLimit {
		return false
	}
	return !tab.hasCommonCause(crashes, explained)
}

// hasCommonCause reports whether crashes may have a cause that they share with others: more
// servers crashed around them, and they do not lie so far apart that it would have to occur as
// often as they did.
func (tab *Table) hasCommonCause(crashes []Crash, explained map[Crash]bool) bool {
	return tab.unrelated(crashes, explained) > CrashLimit && countApart(crashes, explained, commonCauseSpacing) < CrashLimit
}

// explained returns the crashes that refused requests explain.
func (tab *Table) explained() map[Crash]bool {
	if tab == nil {
		return nil
	}
	out := map[Crash]bool{}
	for fpr := range tab.refused {
		for _, crs := range tab.prints[fpr].crashes {
			out[crs] = true
		}
	}
	return out
}

// unrelated counts the crashes within commonCauseWindow of the newest of the given ones that
// are not among them and may have a common cause. A server that was started again had crashed: what
// several servers have in common, if they are out of reach for some time, is their path.
func (tab *Table) unrelated(crashes []Crash, explained map[Crash]bool) int {
	if tab == nil {
		return 0
	}
	from, to := crashes[max(0, len(crashes)-CrashLimit)].at.Add(-commonCauseWindow), crashes[len(crashes)-1].at.Add(commonCauseWindow)
	num := 0
	for _, crs := range tab.all {
		if crs.at.After(from) && crs.at.Before(to) && !explained[crs] && !contains(crashes, crs) && !tab.startedAgain(crs) {
			num++
		}
	}
	return num
}

// startedAgain reports whether the server of a crash was started again: another server has
// its place, or it answered before it crashed once more.
func (tab *Table) startedAgain(crs Crash) bool {
	return tab.restarted[crs.server] || slices.ContainsFunc(tab.all, func(oth Crash) bool {
		return oth.server == crs.server && oth.lastReply.After(crs.at)
	})
}

func contains(crashes []Crash, crs Crash) bool {
	for _, own := range crashes {
		if own.duplicates(crs) {
			return true
		}
	}
	return false
}
