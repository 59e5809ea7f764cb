package edge

import (
	"context"
	"sync/atomic"
	"time"

	"lovagestream/core/marks"
	"lovagestream/core/member"
	"lovagestream/core/place"
	"lovagestream/core/reach"
	"lovagestream/core/sched"
	"lovagestream/core/stock"
	"lovagestream/core/table"
	"lovagestream/io/accept"
	"lovagestream/io/clock"
	"lovagestream/io/conns"
	"lovagestream/io/entry"
	"lovagestream/io/follow"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

// Decoder decodes published configurations.
type Decoder interface {
	Config(doc []byte) (*table.Table, error)
}

// Links connects to other entry instances and sends them messages.
type Links interface {
	Send(address string, msg mesh.Message) bool
	Dial(address string)
	Disconnect(address string)
}

const (
	// queueLength bounds the control thread's event queue, about one second of
	// events at peak load.
	queueLength = 4096
	// largeMessages bounds how many large peer messages are in the queue, about a
	// megabyte.
	largeMessages = 16
	// tickPeriod is the period of the control thread's tick. The scheduler sends
	// calls to stage servers shortly before they are due, so the tick must be
	// finer than that lead.
	tickPeriod = 10 * time.Millisecond
	// pauseThreshold is the gap between two ticks from which the process counts
	// as having been paused: by then other instances have taken over its duties.
	pauseThreshold = 800 * time.Millisecond
	// verifyTimeout bounds how long a resumed process refuses callers while it
	// waits for fresh state.
	verifyTimeout = 3 * time.Second
	// removalHoldTime is how long after an outage of the store expired entries
	// may take to be registered again.
	removalHoldTime = 2200 * time.Millisecond
)

// event is an input of the control thread, which applies events in order.
type event interface {
	apply(ctl *Control, now time.Time)
}

// pendingRequest is a request of this instance that was submitted to a
// coordinator.
type pendingRequest struct {
	spec  sched.Spec
	reply chan sched.Decision
	// coordinator is the instance that schedules the request.
	coordinator string
	placed      bool
	engine      string
	// movingFrom is the engine at which the request goes on unless it is placed at
	// another; empty if it is not about to move.
	movingFrom string
}

// sentHeartbeat is the last full heartbeat that was sent to the peers.
type sentHeartbeat struct {
	last    member.Heartbeat
	storeAt time.Time
	// missed are peers that it couldn't be sent to.
	missed map[string]bool
}

// Control is the state of one entry instance and the thread that changes it.
type Control struct {
	set    Settings
	clk    clock.Service
	dec    Decoder
	lnk    Links
	log    *lines.Writer
	calls  *stageCaller
	events chan event
	// pathsStale is set if a change of a path found the queue full.
	pathsStale atomic.Bool
	// large holds a slot for each large message in the queue; ended is closed
	// when the control thread ends.
	large chan struct{}
	ended chan struct{}
	view  atomic.Pointer[entry.View]
	stats atomic.Pointer[stats]
	// readDuty is whether the store reader is to read.
	readDuty atomic.Pointer[follow.Duty]
	// rereadStore makes the store reader read everything again.
	rereadStore func()

	mem      *member.Set
	registry *stock.Registry
	tab      *table.Table
	doc      []byte
	sched    *sched.Scheduler
	limits   *limits
	pauses   *pauses
	accounts *accounts
	streams  *streams
	speeds   speeds
	marks    *marks.Table
	// crashed are the entries of the servers that crashed, by their start.
	crashed map[string]stock.Entry
	// reach calls a function if a new connection to a server stays open.
	reach func(service, address string, fun func())
	// observe observes these servers and no others.
	observe func(list []conns.Observed)
	// causesFound is called with the evidence if it implicates any requests.
	causesFound func(tab *marks.Table)
	// causes are the fingerprints for which requests are refused; partNames are the names of
	// the parts that crashes count against.
	causes    map[marks.Fingerprint]bool
	partNames map[marks.Fingerprint]string
	// sounds are answers to requests that were in flight at crashes, for the peers that
	// know of no such answer by soundsDue.
	sounds    map[uint64]time.Time
	soundsDue time.Time
	// wrongServers are servers at whose address another server answered, with the
	// revision of their record.
	wrongServers map[string]stock.Revision
	// live are the servers in use, servers the same by service, and unusable
	// those not in use. rebuildServers makes all of them. They are never changed
	// afterwards, since views share them.
	live     []stock.Entry
	servers  map[string][]stock.Entry
	unusable map[string]bool
	// byAddress are the servers in use by address.
	byAddress map[string]stock.Entry
	// coldUntil are servers that may be cold, with the latest time at which they
	// are warm.
	coldUntil map[string]time.Time
	// unreadable and badEntries are what was logged as malformed: fields of servers'
	// answers, and entries of the store.
	unreadable *unreadable
	badEntries *unreadable
	// evacuated are the addresses of servers in evacuated zones.
	evacuated map[string]bool
	// serversDirty is set if servers or the configuration changed since
	// rebuiltAt.
	serversDirty bool
	rebuiltAt    time.Time
	pending      map[string]*pendingRequest
	// attempts counts the requests that were submitted.
	attempts    uint64
	coordinator string
	// supersededAt is when another instance replaced this one as the coordinator;
	// zero if this one has no jobs to transfer.
	supersededAt time.Time
	// unreachable are zones whose instances are all silent.
	unreachable map[string]bool
	// relays are the instances that may relay requests to servers. losses are the
	// losses of paths to services; serversLost is set if there is no path to any server.
	relays      atomic.Pointer[[]reach.Candidate]
	losses      *reach.Losses
	serversLost bool
	// frees are the results to free, by the address of the server that holds
	// them.
	frees map[string][]string
	// piecesRequested counts the pieces requested of each pool since the pools
	// were last logged, refused requests included.
	piecesRequested map[string]int

	stopping bool
	// closingAt is when a planned stop will have ended; zero before connections
	// close.
	closingAt time.Time
	verified  bool
	resumedAt time.Time
	startedAt time.Time
	// relinked are peers whose link was opened after the last pause of the
	// process. Older links deliver messages that were sent before it.
	relinked map[string]bool
	// readConfig and readServers are set once each was read since resumedAt.
	readConfig  bool
	readServers bool
	// ticked is when the last tick was applied. due is the last one made; it belongs to
	// the goroutine that makes them.
	ticked        time.Time
	due           evTick
	throttle      *accept.Throttle
	sync          *syncState
	sent          sentHeartbeat
	membersAt     time.Time
	heartbeatAt   time.Time
	poolsLoggedAt time.Time
	storeAt       time.Time
	storeDown     bool
	// storeFailed counts the calls to the store that failed in a row.
	storeFailed int
	// storeBack is when the store last came back, after an outage or in a new
	// era.
	storeBack time.Time
	// era is the highest era of the store that was seen.
	era       int64
	viewStale bool
}

var _ entry.Control = (*Control)(nil)
var _ follow.Sink = (*Control)(nil)
var _ mesh.Sink = (*Control)(nil)
var _ sched.Effects = (*Control)(nil)

// NewControl returns the control state of an instance without configuration,
// servers or peers.
func NewControl(set Settings, clk clock.Service, dec Decoder, log *lines.Writer, born int64) *Control {
	now := clk.Now()
	ctl := &Control{
		set: set, clk: clk, dec: dec, log: log, events: make(chan event, queueLength),
		mem:      member.NewSet(member.Member{Address: set.AdvertisedAddr, Zone: set.Zone, StartedAt: born, MilliCPU: set.MilliCPU}),
		registry: stock.NewRegistry(), limits: newLimits(), pauses: newPauses(), accounts: newAccounts(), streams: newStreams(),
		wrongServers: map[string]stock.Revision{}, pending: map[string]*pendingRequest{}, sync: newSyncState(), sent: sentHeartbeat{missed: map[string]bool{}}, large: make(chan struct{}, largeMessages), ended: make(chan struct{}), relinked: map[string]bool{}, frees: map[string][]string{}, losses: reach.NewLosses(), coldUntil: map[string]time.Time{}, crashed: map[string]stock.Entry{}, sounds: map[uint64]time.Time{}, partNames: map[marks.Fingerprint]string{}, reach: func(string, string, func()) {}, observe: func([]conns.Observed) {}, causesFound: func(*marks.Table) {}, unreadable: newUnreadable(), badEntries: newUnreadable(), piecesRequested: map[string]int{},
		verified: true, startedAt: now, ticked: now, due: evTick{due: now, boot: bootTime()}, coordinator: set.AdvertisedAddr, rereadStore: func() {}, throttle: accept.NewThrottle(clk),
	}
	ctl.sched = sched.New(ctl, ctl.limits.limiter)
	ctl.sched.DivideByAccount(!set.UndividedAccounts)
	ctl.sched.ColdStart(now)
	ctl.limits.limiter.SetMembersUnknown(now, true)
	ctl.mem.SetSeeds(now, set.Seeds)
	ctl.readDuty.Store(&follow.Duty{Reads: true, Readers: 1})
	ctl.stats.Store(ctl.snapshot(now))
	ctl.rebuildServers(now)
	ctl.publish(now)
	ctl.relays.Store(&[]reach.Candidate{})
	return ctl
}

// post queues an event for the control thread.
func (ctl *Control) post(evt event) { ctl.events <- evt }

// Run is the control thread's loop.
func (ctl *Control) Run(ctx context.Context) error {
	defer close(ctl.ended)
	for {
		select {
		case <-ctx.Done():
			return nil
		case evt := <-ctl.events:
			evt.apply(ctl, ctl.clk.Now())
			ctl.publishIfDue(ctl.clk.Now())
		}
	}
}

// rebuildCost is the pause between two rebuilds of the server lists, for each
// server. It is about ten times what a rebuild takes, so that a burst of server
// records, one message each, spends at most a tenth of the processor on rebuilds.
const rebuildCost = 20 * time.Microsecond

// publishIfDue publishes a view if the state has changed. Server records come in
// bursts when many servers start or leave: a rebuild for each of 600 records took
// two seconds of processor time and delayed heartbeats.
func (ctl *Control) publishIfDue(now time.Time) {
	interval := time.Duration(len(ctl.live)) * rebuildCost
	if ctl.viewStale || ctl.serversDirty && now.Sub(ctl.rebuiltAt) >= interval {
		ctl.publish(now)
	}
}

// Duty returns whether this instance reads the store.
func (ctl *Control) Duty() follow.Duty { return *ctl.readDuty.Load() }

// View returns the current view, which the serving path works with.
func (ctl *Control) View() *entry.View { return ctl.view.Load() }

// Ready reports whether the instance accepts callers.
func (ctl *Control) Ready() bool {
	viw := ctl.View()
	return viw.Table != nil && len(viw.Servers) > 0 && viw.Verified && !viw.Stopping
}

// publish publishes a view of the state, and rebuilds the server lists first if
// servers or the configuration changed.
func (ctl *Control) publish(now time.Time) {
	ctl.viewStale = false
	if ctl.serversDirty {
		ctl.rebuildServers(now)
	}
	live, known := ctl.mem.Count(now)
	viw := &entry.View{
		Table: ctl.tab, Servers: ctl.servers, Unusable: ctl.unusable, Verified: ctl.verified, Stopping: ctl.stopping,
		ClosingAt: ctl.closingAt, Marks: ctl.marks, Live: live, Known: known, SilentZones: ctl.unreachable,
		LimitedServers: ctl.limits.servers(), BrittleServers: ctl.limits.limiter.BrittleServers(), LimitedServices: ctl.limits.services(now, ctl.servers),
		Retries:           entry.RetryLimits{Ratio: ctl.set.RetryRatio, Slack: ctl.set.RetrySlack, Window: ctl.set.RetryWindow, Part: ctl.mem.Part(ctl.set.Zones)},
		CloseConnections:  ctl.throttle.Limited(),
		EndedStarts:       ctl.streams.ends.Starts(),
		UndividedAccounts: ctl.set.UndividedAccounts, Notices: ctl.accounts.byResource(now),
	}
	ctl.view.Store(viw)
}

func (ctl *Control) wrongServer(rec stock.Record) bool {
	rev, have := ctl.wrongServers[rec.Entry.ID]
	return have && rec.Revision <= rev
}

// rebuildServers rebuilds what views and the scheduler need of all servers. It
// doesn't run for each view, since views are published many times a second,
// mostly without a change of servers: rebuilding the lists of 3,000 servers each
// time took more of a small instance's processor than its requests.
func (ctl *Control) rebuildServers(now time.Time) {
	ctl.serversDirty, ctl.rebuiltAt = false, now
	evacuated := ctl.registry.EvacuatedZones()
	ctl.live = ctl.usableServers(evacuated)
	ctl.servers, ctl.unusable, ctl.evacuated = map[string][]stock.Entry{}, map[string]bool{}, map[string]bool{}
	ctl.byAddress = make(map[string]stock.Entry, len(ctl.live))
	for _, rec := range ctl.registry.All() {
		if rec.Removed || rec.Entry.Leaving || ctl.wrongServer(rec) {
			ctl.unusable[rec.Entry.ID] = true
		}
	}
	inUse := map[string]bool{}
	for _, ent := range ctl.live {
		ctl.servers[ent.Service] = append(ctl.servers[ent.Service], ent)
		ctl.byAddress[ent.Address] = ent
		inUse[ent.ID] = true
		if evacuated[ent.Zone] {
			ctl.unusable[ent.ID] = true
			ctl.evacuated[ent.Address] = true
		}
	}
	ctl.limits.limiter.Forget(func(id string) bool { return !inUse[id] })
	ctl.unreadable.forget(func(id string) bool { return !inUse[id] })
	ctl.limitColdServers(now)
	if ctl.tab != nil {
		ctl.sched.Configure(now, ctl.tab, ctl.live)
	}
}

// usableServers returns the live servers without those at whose address another
// server answered. Servers in evacuated zones get no new work, like leaving ones.
func (ctl *Control) usableServers(evacuated map[string]bool) []stock.Entry {
	all := ctl.registry.Live()
	out := all[:0]
	for _, ent := range all {
		ent.Leaving = ent.Leaving || evacuated[ent.Zone]
		if _, have := ctl.wrongServers[ent.ID]; !have {
			out = append(out, ent)
		}
	}
	return out
}

// changed applies new servers or a new configuration at once.
func (ctl *Control) changed(now time.Time) {
	ctl.serversDirty = true
	ctl.publish(now)
}

// Submit submits a request for placement.
func (ctl *Control) Submit(spc sched.Spec) <-chan sched.Decision {
	reply := make(chan sched.Decision, 1)
	ctl.post(evSubmit{spec: spc, reply: reply})
	return reply
}

// Retry asks for another engine after a run that ended without an answer.
func (ctl *Control) Retry(spc sched.Spec, outcome place.Outcome, inputsGone bool) <-chan sched.Decision {
	reply := make(chan sched.Decision, 1)
	ctl.post(evRetry{spec: spc, outcome: outcome, inputsGone: inputsGone, reply: reply})
	return reply
}

// Withdraw cancels a request that has no decision yet.
func (ctl *Control) Withdraw(id string) { ctl.post(evWithdraw{id: id}) }

// Began reports the first event of a request's answer.
func (ctl *Control) Began(id string) { ctl.post(evBegan{id: id}) }

// Ended reports the outcome of a run.
func (ctl *Control) Ended(id string, outcome place.Outcome) {
	ctl.post(evEnded{id: id, outcome: outcome})
}

// WrongServer reports that another server answered at a server's address.
func (ctl *Control) WrongServer(ent stock.Entry) { ctl.post(evWrongServer{ent: ent}) }

// Config posts a configuration and evacuations that were read from the store.
func (ctl *Control) Config(doc follow.Document, full bool) {
	ctl.post(evConfig{doc: doc.Config})
	ctl.post(evEvacuations{records: doc.Evacuations, revision: doc.Revision, full: full})
}

// Servers posts server records that were read from the store.
func (ctl *Control) Servers(list follow.Listing, full bool) {
	ctl.post(evServers{list: list, full: full})
}

// StoreCallEnded posts whether the store answered a call.
func (ctl *Control) StoreCallEnded(err error) { ctl.post(evStoreResult{err: err}) }

// Linked posts that a link to a peer was opened.
func (ctl *Control) Linked(mem member.Member) { ctl.post(evLinked{mem: mem}) }

// Unlinked posts that the last link to a peer was closed.
func (ctl *Control) Unlinked(address string, cause error) {
	ctl.post(evUnlinked{address: address, cause: cause})
}

// Received posts a message from a peer. Large messages wait on their link for one of
// a few slots: the queue is bounded by the number of events, and 4,096 server
// lists would take 200 MB.
func (ctl *Control) Received(from string, msg mesh.Message) {
	evt := evMessage{from: from, msg: msg}
	if !mesh.Large(msg) {
		ctl.post(evt)
		return
	}
	select {
	case ctl.large <- struct{}{}:
		ctl.post(evLargeMessage{evt})
	case <-ctl.ended:
	}
}

// Call starts a call to a stage server.
func (ctl *Control) Call(cal sched.Call) {
	ctl.log.Log("stage-call", lines.Fields{"call": cal.Number, "server": cal.Server.ID, "service": cal.Server.Service, "pieces": len(cal.Items), "ids": ids(cal.Items)})
	ctl.calls.start(cal)
}

// ids returns the IDs of a call's requests, each once.
func ids(items []sched.Item) []string {
	var out []string
	for _, itm := range items {
		if len(out) == 0 || out[len(out)-1] != itm.ID {
			out = append(out, itm.ID)
		}
	}
	return out
}

// CancelCall cancels a call.
func (ctl *Control) CancelCall(number uint64) { ctl.calls.cancel(number) }

// FreeResults queues results to be freed.
func (ctl *Control) FreeResults(address string, handles []string) {
	ctl.frees[address] = append(ctl.frees[address], handles...)
}

// Ejected logs an engine's ejection and the instance whose request caused it.
func (ctl *Control) Ejected(engine, owner string, how place.Outcome) {
	ctl.log.Log("engine-ejected", lines.Fields{"server": engine, "reporter": owner, "outcome": how.String()})
}

// ReportResults reports held results to the entry instance of their request.
func (ctl *Control) ReportResults(hld sched.HeldResults) {
	if hld.Key.Owner == ctl.set.AdvertisedAddr {
		ctl.addHeldResults(ctl.clk.Now(), ctl.set.AdvertisedAddr, hld)
		return
	}
	if !ctl.lnk.Send(hld.Key.Owner, mesh.HeldResults{HeldResults: hld}) {
		ctl.log.Log("results-unreported", lines.Fields{"id": hld.Key.ID, "to": hld.Key.Owner})
	}
}

// Notify sends a decision to the entry instance of its request.
func (ctl *Control) Notify(dec sched.Decision) {
	if dec.Key.Owner == ctl.set.AdvertisedAddr {
		ctl.handleDecision(ctl.set.AdvertisedAddr, dec)
		return
	}
	if !ctl.lnk.Send(dec.Key.Owner, mesh.Decision{Decision: dec}) {
		ctl.log.Log("decision-unsent", lines.Fields{"id": dec.Key.ID, "to": dec.Key.Owner})
	}
}
