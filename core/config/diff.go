package config

import (
	"fmt"
	"reflect"
	"sort"
)

// Change is one difference between two documents.
type Change struct {
	// section is a top-level key of the document, object a name in its list, or
	// "" for the section itself.
	section string
	object  string
	summary string
}

// Section returns the top-level key of the document.
func (chg Change) Section() string { return chg.section }

// Object returns the name of the changed object, or "" for the section itself.
func (chg Change) Object() string { return chg.object }

// Summary returns a description of the change.
func (chg Change) Summary() string { return chg.summary }

// String returns section, object and summary in one line.
func (chg Change) String() string {
	if chg.object == "" {
		return chg.section + ": " + chg.summary
	}
	return chg.section + " " + chg.object + ": " + chg.summary
}

// Diff returns the changes from the document in force to another one, by
// section and name. A change of the revision comes first, since it can mean
// that the document would not be accepted.
func Diff(old, doc *Document) []Change {
	var chgs []Change
	add := func(section, object, format string, args ...any) {
		chgs = append(chgs, Change{section: section, object: object, summary: fmt.Sprintf(format, args...)})
	}
	switch {
	case doc.revision < old.revision:
		add("revision", "", "%d is lower than %d in force; the document would be ignored", doc.revision, old.revision)
	case doc.revision == old.revision && doc.digest != old.digest:
		add("revision", "", "%d is in force with other contents; the document would be refused", doc.revision)
	case doc.revision > old.revision:
		add("revision", "", "%d to %d", old.revision, doc.revision)
	}
	if doc.active != old.active {
		add("active-preset", "", "%s to %s", old.active, doc.active)
	}
	chgs = append(chgs, diffList("zones", zonesByName(old), zonesByName(doc), nil)...)
	chgs = append(chgs, diffList("pools", old.poolByName, doc.poolByName, nil)...)
	chgs = append(chgs, diffList("pipelines", old.pipelineByName, doc.pipelineByName, diffPipeline)...)
	chgs = append(chgs, diffList("client-accounts", old.accountByName, doc.accountByName, diffAccount)...)
	chgs = append(chgs, diffList("presets", old.presetByName, doc.presetByName, diffPreset)...)
	return append(chgs, diffPlacement(old.Preset(), doc.Preset())...)
}

func zonesByName(doc *Document) map[string]*Zone {
	byName := map[string]*Zone{}
	for _, zon := range doc.zones {
		byName[zon.name] = zon
	}
	return byName
}

// diffList compares the objects of a section by name.
func diffList[T any](section string, old, now map[string]*T, detail func(old, now *T) string) []Change {
	var names []string
	for name := range old {
		names = append(names, name)
	}
	for name := range now {
		if old[name] == nil {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var chgs []Change
	for _, name := range names {
		what := "changed"
		switch {
		case old[name] == nil:
			what = "added"
		case now[name] == nil:
			what = "removed"
		case reflect.DeepEqual(old[name], now[name]):
			continue
		case detail != nil:
			what = detail(old[name], now[name])
		}
		chgs = append(chgs, Change{section: section, object: name, summary: what})
	}
	return chgs
}

func diffPipeline(old, now *Pipeline) string {
	if old.deadline != now.deadline {
		return fmt.Sprintf("deadline %s to %s, %d to %d stages", old.deadline, now.deadline, len(old.stages), len(now.stages))
	}
	return fmt.Sprintf("stages changed, %d to %d", len(old.stages), len(now.stages))
}

func diffAccount(old, now *Account) string {
	from, to := old.contract, now.contract
	if reflect.DeepEqual(from, to) {
		return "credential changed"
	}
	return fmt.Sprintf("contract class %s to %s, rate %g to %g, concurrency %d to %d, tokens %g to %g",
		from.class, to.class, from.rate, to.rate, from.concurrency, to.concurrency, from.tokens, to.tokens)
}

func diffPreset(old, now *Preset) string {
	return fmt.Sprintf("extra-work %g to %g, hedge %t to %t, admit %s to %s, headroom %g to %g, placement of %d to %d models",
		old.extraWork, now.extraWork, old.hedge, now.hedge, old.admit, now.admit, old.headroom, now.headroom, len(old.placement), len(now.placement))
}

// diffPlacement compares the placements of the active presets.
func diffPlacement(old, now *Preset) []Change {
	wanted := func(pre *Preset) map[string]int {
		nums := map[string]int{}
		for _, pla := range pre.placement {
			nums[pla.pool+"/"+pla.model] += pla.servers
		}
		return nums
	}
	from, to := wanted(old), wanted(now)
	var names []string
	for name := range from {
		names = append(names, name)
	}
	for name := range to {
		if _, found := from[name]; !found {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var chgs []Change
	for _, name := range names {
		if from[name] != to[name] {
			chgs = append(chgs, Change{section: "placement", object: name, summary: fmt.Sprintf("%d to %d servers", from[name], to[name])})
		}
	}
	return chgs
}
