package marks

import (
	"slices"
	"time"
)

// Load pattern: several poison requests come by turns to a service of a few servers, all of
// which are down for a second or two at a time. Each crash has one cause, but also other
// requests on board, and around it others of the poison requests crash other servers.

// judge decides which fingerprints are refused.
//
// The fingerprint with the most crashes is judged first, and explains them: they count no
// more against the other requests on board, nor as crashes of a common cause. Equal ones
// are judged alike.
func (tab *Table) judge() {
	tab.refused = map[Fingerprint]bool{}
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
		if tab.refused[fpr] || len(evi.crashes) < CrashLimit {
			continue
		}
		num := unexplained(evi.crashes, explained)
		if num < max(CrashLimit, most) || tab.unrelated(evi.crashes, explained) > CrashLimit {
			continue
		}
		if num > most {
			most, next = num, nil
		}
		next = append(next, fpr)
	}
	for _, fpr := range next {
		tab.refused[fpr] = true
	}
	for _, fpr := range next {
		for _, crs := range tab.prints[fpr].crashes {
			explained[crs] = true
		}
	}
	return len(next) > 0
}

func unexplained(crashes []Crash, explained map[Crash]bool) int {
	num := 0
	for _, crs := range crashes {
		if !explained[crs] {
			num++
		}
	}
	return num
}

// Refused reports whether a request is refused.
func (tab *Table) Refused(now time.Time, fpr Fingerprint) bool {
	return tab != nil && tab.refused[fpr] && len(unexpired(now, tab.prints[fpr].crashes)) >= CrashLimit
}

// Implicated reports whether the evidence implicates a request: it was in
// flight at CrashLimit crashes, and no more other servers crashed around that
// time without it. A lost zone or a failed device on the network path takes
// many servers at once, and a request that is retried on one after the other
// meets several of these crashes.
func (tab *Table) Implicated(now time.Time, crashes []Crash) bool {
	crashes = unexpired(now, crashes)
	if len(crashes) < CrashLimit {
		return false
	}
	return tab.unrelated(crashes, tab.explained()) <= CrashLimit
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
