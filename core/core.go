// Package core holds the control state of one entry instance: the configuration
// in force, the known backend servers and other entry instances, the bound
// idempotency keys, and the reaction to each event. The subpackages each
// implement one part of it.
//
// # Event interface
//
// All behavior of the control state goes through one method:
//
//	decisions := ctl.Step(now, event)
//
// An Event describes what happened. A Decision describes what the driver must
// do. The package is deterministic: it reads no clock, opens no socket, starts
// no goroutine and takes randomness only from the seed in its Options. Equal
// sequences of events therefore give equal sequences of decisions under any
// driver, be it the control loop of a running instance or a test that simulates
// the time and network of ten instances.
//
// Step must be called by one goroutine at a time, with times that do not run
// backwards; an earlier time counts as no time passed. Traffic goroutines never
// call Step: they post events and read the View that the last step left, which
// is immutable except for the atomic counters of its servers.
package core

import (
	"time"

	"lovagestream/core/config"
	"lovagestream/core/fleet"
	"lovagestream/core/keys"
	"lovagestream/core/marks"
	"lovagestream/core/route"
)

// Event is an input of the control state. Events are made by the New functions
// of their types and read only by Step.
type Event interface{ event() }

// Decision is an action that the driver must carry out, in the order given. A
// decision that can no longer be carried out is dropped. Losing one is safe:
// the state that led to it remains, and a later Tick repeats it. Ticks do not
// repeat ConfigAccepted and ConfigRefused; the View shows what they report.
type Decision interface{ decision() }

// Stepper is the interface that drivers use.
type Stepper interface {
	// Step applies one event and returns the decisions that follow from it.
	Step(now time.Time, ev Event) []Decision
	// View returns the snapshot left by the last step.
	View() *View
}

// Options are an entry instance's own identity and settings.
type Options struct {
	self Instance
	seed uint64
	// incarnation identifies this start of the instance.
	incarnation uint64
	// seeds are addresses of entry instances to contact while no member is
	// known or all are in state Gone.
	seeds []string
	keys  keys.Options
}

// NewOptions returns the options of an entry instance. All random choices of
// the control state derive from seed.
func NewOptions(self Instance, seed uint64) Options {
	return Options{self: self, seed: seed, incarnation: 1, keys: keys.DefaultOptions()}
}

// WithIncarnation sets the number of this start. It should be higher than that
// of every earlier start, as the Unix time in nanoseconds is.
func (opt Options) WithIncarnation(incarnation uint64) Options {
	opt.incarnation = incarnation
	return opt
}

// WithSeeds sets addresses of entry instances to contact while there is no
// member to exchange heartbeats with: none is known, or all are in state Gone.
func (opt Options) WithSeeds(seeds []string) Options {
	opt.seeds = seeds
	return opt
}

// WithKeys sets the limits on idempotency keys.
func (opt Options) WithKeys(bounds keys.Options) Options {
	opt.keys = bounds
	return opt
}

// State says whether an instance of the list is live or about to leave.
type State string

// The states in the instance list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role distinguishes entry instances from backend servers.
type Role string

// The roles in the instance list.
const (
	Entry   Role = "entry"
	Backend Role = "backend"
)

// Instance is one row of the platform's instance list, or this instance itself.
type Instance struct {
	id      string
	role    Role
	address string
	zone    string
	pool    string
	state   State
}

// NewInstance returns a row of the instance list. Entry instances have no pool.
func NewInstance(id string, role Role, address, zone, pool string, state State) Instance {
	return Instance{id: id, role: role, address: address, zone: zone, pool: pool, state: state}
}

// ID returns the identity, unique in the list.
func (ins Instance) ID() string { return ins.id }

// Role returns whether it is an entry instance or a backend server.
func (ins Instance) Role() Role { return ins.role }

// Address returns the IP address and port; for entry instances, those that
// other entry instances connect to.
func (ins Instance) Address() string { return ins.address }

// Zone returns the availability zone.
func (ins Instance) Zone() string { return ins.zone }

// Pool returns the pool of a backend server.
func (ins Instance) Pool() string { return ins.pool }

// State returns live or leaving.
func (ins Instance) State() State { return ins.state }

// View is an immutable snapshot for traffic goroutines.
type View struct {
	// doc is the configuration in force; nil before the first one.
	doc *config.Document
	// pools holds the servers that may get new calls, by pool name.
	pools map[string][]*route.Server
	// backends holds every server of the list, sorted by pool and identity.
	backends []ServerView
	// entries is the number of entry instances in the list, this one included.
	entries int
	// stopping is never cleared once set.
	stopping bool
	// synced is set while the state of the peers is known, see readiness.
	synced bool
	// steppedAt is the time of the last step.
	steppedAt time.Time
	// fromBootFile is set while doc came from the boot file.
	fromBootFile bool
	// listRevision is the revision of the instance list.
	listRevision uint64
	refusals     []Refusal
	watched      map[PublishedValue]bool
	members      []Member
	marks        *marks.Table
	// shares holds this instance's share of each contract in use here.
	shares map[string]float64
	keys   KeyCounts
}

// Member is another entry instance as this one sees it, for the status.
type Member struct {
	id          string
	zone        string
	address     string
	incarnation uint64
	// revision is the configuration revision that it last reported.
	revision  uint64
	state     fleet.State
	lastHeard time.Time
	linked    bool
}

// ID returns the identity.
func (mem Member) ID() string { return mem.id }

// Zone returns the availability zone.
func (mem Member) Zone() string { return mem.zone }

// Address returns the address where it can be reached.
func (mem Member) Address() string { return mem.address }

// Incarnation returns the highest incarnation received; 0 before its first
// message.
func (mem Member) Incarnation() uint64 { return mem.incarnation }

// Revision returns the configuration revision that it last reported.
func (mem Member) Revision() uint64 { return mem.revision }

// State returns live, suspected, leaving or gone.
func (mem Member) State() fleet.State { return mem.state }

// LastHeard returns when its last message arrived; zero before the first.
func (mem Member) LastHeard() time.Time { return mem.lastHeard }

// Linked reports whether heartbeats are sent to it.
func (mem Member) Linked() bool { return mem.linked }

// Members returns the other entry instances, sorted by identity.
func (vie *View) Members() []Member { return vie.members }

// Shares returns this instance's share of each contract in use here, by client
// account. The map must not be changed.
func (vie *View) Shares() map[string]float64 { return vie.shares }

// FromBootFile reports whether the configuration in force came from the boot
// file.
func (vie *View) FromBootFile() bool { return vie.fromBootFile }

// ListRevision returns the revision of the instance list; 0 before the first.
func (vie *View) ListRevision() uint64 { return vie.listRevision }

// Refusals returns the recently refused documents, newest last.
func (vie *View) Refusals() []Refusal { return vie.refusals }

// Watches reports whether this instance watches a published value.
func (vie *View) Watches(val PublishedValue) bool { return vie.watched[val] }

// Fresh reports whether the view may be acted on: the instance has synchronized
// with its peers since its start or last pause, and is not stale.
func (vie *View) Fresh(now time.Time) bool { return vie.synced && !vie.Stale(now) }

// Stale reports whether the control state has taken no step for so long that
// the process must have been paused, in which case other instances may have
// taken over its duties. Traffic goroutines that resume before the control
// thread must not act on the view.
func (vie *View) Stale(now time.Time) bool {
	return !vie.steppedAt.IsZero() && now.Sub(vie.steppedAt) >= pauseThreshold
}

// Config returns the configuration in force, or nil before the first one.
func (vie *View) Config() *config.Document { return vie.doc }

// Entries returns how many entry instances share the servers, by the list.
func (vie *View) Entries() int { return vie.entries }

// Servers returns a pool's servers that may get new calls, in an order that is
// the same on every entry instance. The slice must not be changed.
func (vie *View) Servers(pool string) []*route.Server { return vie.pools[pool] }

// Stopping reports whether this instance admits no more requests.
func (vie *View) Stopping() bool { return vie.stopping }

// Ready reports whether requests can be admitted.
func (vie *View) Ready() bool { return vie.doc != nil && !vie.stopping && vie.synced }
