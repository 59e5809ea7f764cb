package core

import (
	"time"

	"lovagestream/core/config"
	"lovagestream/core/fleet"
	"lovagestream/core/order"
)

const (
	// orderInterval is how often engine states are read and orders sent.
	orderInterval = time.Second
	// stateMaxAge is how long an engine state may be acted on after it was
	// read.
	stateMaxAge = 5 * time.Second
	// stableTime is how long the instance list must have been unchanged before
	// orders are sent, so that the restart of a server moves no model.
	stableTime = 5 * time.Second
	// maxConcurrentLoads is how many models a zone's pool loads at a time, to
	// limit the load on the weight store.
	maxConcurrentLoads = 1
)

// PlacementRead reports which models an engine holds.
type PlacementRead struct {
	server  string
	holds   []string
	loading string
	room    int
}

// NewPlacementRead returns the event.
func NewPlacementRead(server string, holds []string, loading string, room int) PlacementRead {
	return PlacementRead{server: server, holds: holds, loading: loading, room: room}
}

func (PlacementRead) event() {}

// ReadPlacement tells the driver to read which models an engine holds.
type ReadPlacement struct {
	server  string
	address string
}

// Server returns the engine's identity.
func (dec ReadPlacement) Server() string { return dec.server }

// Address returns the address where it can be reached.
func (dec ReadPlacement) Address() string { return dec.address }

func (ReadPlacement) decision() {}

// SendOrder tells the driver to send an order to an engine. Right before
// sending, the driver must check again that the process was not paused (see
// View.Fresh).
type SendOrder struct {
	address string
	// fencingToken is the configuration revision that the order follows from.
	// Engines that check it refuse orders of an instance with an outdated
	// configuration.
	fencingToken uint64
	order        order.Order
}

// Address returns the engine's address.
func (dec SendOrder) Address() string { return dec.address }

// FencingToken returns the configuration revision that the order follows from.
func (dec SendOrder) FencingToken() uint64 { return dec.fencingToken }

// Order returns the order.
func (dec SendOrder) Order() order.Order { return dec.order }

func (SendOrder) decision() {}

// engineState is what an engine held when it was last read.
type engineState struct {
	engine order.Engine
	readAt time.Time
}

// placer is the component that sends load and unload orders to the engines of
// its own zone. For each pool, rendezvous hashing selects one live instance of
// the zone. While views differ, two instances may be selected for some seconds;
// both then send the same orders.
type placer struct {
	ctl     *Control
	nextAt  time.Time
	engines map[string]engineState
	// stableSince is when the list's revision last changed.
	stableSince  time.Time
	listRevision uint64
}

var _ component = (*placer)(nil)

func newPlacer(ctl *Control) *placer { return &placer{ctl: ctl, engines: map[string]engineState{}} }

func (plc *placer) fill(*View) {}

func (plc *placer) step(now time.Time, ev Event) []Decision {
	switch evt := ev.(type) {
	case PlacementRead:
		plc.engines[evt.server] = engineState{engine: order.NewEngine(evt.server, evt.holds, evt.loading, evt.room), readAt: now}
	case Tick:
		return plc.tick(now)
	}
	return nil
}

// tick sends orders only under a published configuration and after
// synchronizing with the peers, since an instance that was paused or has just
// started may have outdated state.
func (plc *placer) tick(now time.Time) []Decision {
	ctl := plc.ctl
	if plc.listRevision != ctl.list.revision {
		plc.listRevision, plc.stableSince = ctl.list.revision, now
	}
	if now.Before(plc.nextAt) || ctl.conf.doc == nil || ctl.conf.boot || ctl.stopping || !ctl.readiness.synced {
		return nil
	}
	plc.nextAt = now.Add(orderInterval)
	var decs []Decision
	for _, pol := range ctl.conf.doc.Pools() {
		if pol.Kind() == config.Generate && len(pol.Models()) > 0 && plc.assigned(pol.Name()) {
			decs = append(decs, plc.planPool(now, pol.Name())...)
		}
	}
	return decs
}

func (plc *placer) assigned(pool string) bool {
	ctl := plc.ctl
	return fleet.Owner("orders/"+pool, ctl.members.LiveIn(ctl.opt.self.zone)) == ctl.opt.self.id
}

// planPool requests the state of the zone's engines again and returns the next
// orders if the state of every engine is recent. With only some of the engines
// known, it would load models that another engine already holds.
func (plc *placer) planPool(now time.Time, pool string) []Decision {
	ctl := plc.ctl
	targets := placementTargets(ctl.conf.doc, pool)
	if len(targets) == 0 {
		return nil
	}
	var decs []Decision
	var engines []order.Engine
	addresses := map[string]string{}
	zones := map[string]int{}
	allRead := true
	for _, got := range ctl.view.backends {
		srv := got.Server()
		if srv.Pool() != pool || srv.Leaving() {
			continue
		}
		zones[srv.Zone()]++
		if srv.Zone() != ctl.opt.self.zone {
			continue
		}
		addresses[srv.ID()] = srv.Address()
		decs = append(decs, ReadPlacement{server: srv.ID(), address: srv.Address()})
		sta, found := plc.engines[srv.ID()]
		allRead = allRead && found && now.Sub(sta.readAt) < stateMaxAge
		engines = append(engines, sta.engine)
	}
	if !allRead || now.Sub(plc.stableSince) < stableTime {
		return decs
	}
	for _, ord := range order.Plan(order.ZoneTargets(targets, ctl.opt.self.zone, zones), engines, maxConcurrentLoads) {
		// The next order to this engine waits until its state has been read
		// again.
		delete(plc.engines, ord.Server())
		decs = append(decs, SendOrder{address: addresses[ord.Server()], fencingToken: ctl.conf.doc.Revision(), order: ord})
	}
	return decs
}

// placementTargets returns the placement of the preset in force for a pool,
// with a target of 0 for every other model that a pipeline uses there. It is
// empty if the preset places nothing in the pool.
func placementTargets(doc *config.Document, pool string) []order.Target {
	var targets []order.Target
	named := map[string]bool{"": true}
	for _, pla := range doc.Preset().Placement() {
		if pla.Pool() == pool {
			targets = append(targets, order.NewTarget(pla.Model(), pla.Servers()))
			named[pla.Model()] = true
		}
	}
	if len(targets) == 0 {
		return nil
	}
	for _, pip := range doc.Pipelines() {
		for _, stg := range pip.Stages() {
			if stg.Pool() == pool && !named[stg.Model()] {
				named[stg.Model()] = true
				targets = append(targets, order.NewTarget(stg.Model(), 0))
			}
		}
	}
	return targets
}

var (
	_ Event    = PlacementRead{}
	_ Decision = ReadPlacement{}
	_ Decision = SendOrder{}
)
