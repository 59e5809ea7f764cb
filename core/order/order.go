// Package order decides which models the engines of one pool in one zone should
// hold, and the next load and unload orders to get there.
//
// The plan is a function of the preset's placement, the zone's live servers and
// what each was read to hold, so that two instances with the same view issue
// the same orders, and a repeated order changes nothing. Of other zones it
// needs only their numbers of servers in the list: each zone holds its share of
// the targets, and keeps the last server of each model that it has.
package order

import (
	"sort"

	"lovagestream/core/fleet"
)

// Kind is the kind of an order.
type Kind string

// The kinds of orders.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
)

// Target is the number of servers of the pool, over all zones, that should hold
// a model. With a target of 0 the last server of a model that pipelines use is
// kept.
type Target struct {
	model   string
	servers int
}

// NewTarget returns a target for a model.
func NewTarget(model string, servers int) Target { return Target{model: model, servers: servers} }

// Engine is one live server of the zone in the state last read.
type Engine struct {
	id string
	// loaded are the loaded models; loading is the one being loaded, or "".
	loaded  []string
	loading string
	// capacity is the number of models the engine can hold, at least 1.
	capacity int
}

// NewEngine returns an engine in the state last read.
func NewEngine(id string, loaded []string, loading string, capacity int) Engine {
	return Engine{id: id, loaded: loaded, loading: loading, capacity: max(1, capacity)}
}

// ID returns the engine's identity.
func (eng Engine) ID() string { return eng.id }

func (eng Engine) holdsOrLoads(model string) bool {
	if eng.loading == model {
		return true
	}
	return eng.ready(model)
}

func (eng Engine) ready(model string) bool {
	for _, got := range eng.loaded {
		if got == model {
			return true
		}
	}
	return false
}

// hasRoom reports whether the engine can load another model without unloading
// one.
func (eng Engine) hasRoom() bool {
	num := len(eng.loaded)
	if eng.loading != "" {
		num++
	}
	return num < eng.capacity
}

// Order is a load or unload order to one engine.
type Order struct {
	server string
	kind   Kind
	model  string
}

// Server returns the engine's identity.
func (ord Order) Server() string { return ord.server }

// Kind returns load or unload.
func (ord Order) Kind() Kind { return ord.kind }

// Model returns the name of the model or adapter.
func (ord Order) Model() string { return ord.model }

// ZoneTargets returns a zone's share of the targets: whole numbers in
// proportion to the zone's servers, rounded so that the shares of all zones sum
// to the target. Every zone computes the same shares from the same list. A
// model with a target above 0 gets at least one server wherever the zone has
// one for it, for when the zone is partitioned off.
func ZoneTargets(targets []Target, zone string, servers map[string]int) []Target {
	total := 0
	zones := make([]string, 0, len(servers))
	for name, num := range servers {
		total += num
		zones = append(zones, name)
	}
	sort.Strings(zones)
	shares := make([]Target, 0, len(targets))
	for _, tgt := range targets {
		given, seen := 0, 0
		for _, name := range zones {
			seen += servers[name]
			upTo := (tgt.servers*seen + total/2) / max(1, total)
			if name == zone {
				shares = append(shares, Target{model: tgt.model, servers: max(upTo-given, min(1, tgt.servers))})
			}
			given = upTo
		}
	}
	return shares
}

// Plan returns the next orders, at most loads of them. Engines that are loading
// count against loads, because the weight store is slow. Engines keep the
// models that are still needed: only a surplus moves.
func Plan(targets []Target, engines []Engine, loads int) []Order {
	pln := &plan{engines: append([]Engine(nil), engines...), wanted: map[string]int{}, loads: loads}
	sort.Slice(pln.engines, func(i, j int) bool { return pln.engines[i].id < pln.engines[j].id })
	for _, eng := range pln.engines {
		if eng.loading != "" {
			pln.loads--
		}
	}
	sorted := append([]Target(nil), targets...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].model < sorted[j].model })
	for _, tgt := range sorted {
		pln.wanted[tgt.model] = tgt.servers
	}
	for _, tgt := range sorted {
		pln.fill(tgt)
	}
	return pln.orders
}

type plan struct {
	engines []Engine
	wanted  map[string]int
	loads   int
	orders  []Order
	// ordered holds the engines that got an order; they get the next only after
	// they are read again.
	ordered map[string]bool
}

func (pln *plan) count(model string, ready bool) int {
	num := 0
	for _, eng := range pln.engines {
		if ready && eng.ready(model) && !pln.ordered[eng.id] || !ready && eng.holdsOrLoads(model) {
			num++
		}
	}
	return num
}

// fill issues the orders for the servers that a model lacks. An engine with
// room loads the model; an engine without first unloads a model of which the
// zone has more than its target.
func (pln *plan) fill(tgt Target) {
	for missing := tgt.servers - pln.count(tgt.model, false); missing > 0 && pln.loads > 0; missing-- {
		eng := pln.best(tgt.model, func(eng Engine) bool { return eng.hasRoom() })
		if eng != nil {
			pln.issue(eng, Load, tgt.model)
			continue
		}
		eng = pln.best(tgt.model, func(eng Engine) bool { return eng.loading == "" && pln.surplus(eng) != "" })
		if eng == nil {
			return
		}
		pln.issue(eng, Unload, pln.surplus(*eng))
	}
}

// best returns the engine with the highest score for a model among the eligible
// ones that do not hold it and have no order yet.
func (pln *plan) best(model string, eligible func(Engine) bool) *Engine {
	var top *Engine
	for i := range pln.engines {
		eng := &pln.engines[i]
		if eng.holdsOrLoads(model) || pln.ordered[eng.id] || !eligible(*eng) {
			continue
		}
		if top == nil || fleet.Score(model, eng.id) > fleet.Score(model, top.id) {
			top = eng
		}
	}
	return top
}

// surplus returns a model that an engine may unload, or "". The last server
// that has a model ready never unloads it, because this view can be wrong about
// all the others. Only a model without any target, not even 0, is unloaded
// everywhere.
func (pln *plan) surplus(eng Engine) string {
	for _, model := range eng.loaded {
		least := 0
		if num, named := pln.wanted[model]; named {
			least = max(1, num)
		}
		if pln.count(model, true) > least {
			return model
		}
	}
	return ""
}

func (pln *plan) issue(eng *Engine, kind Kind, model string) {
	if pln.ordered == nil {
		pln.ordered = map[string]bool{}
	}
	pln.ordered[eng.id] = true
	pln.loads--
	pln.orders = append(pln.orders, Order{server: eng.id, kind: kind, model: model})
}
