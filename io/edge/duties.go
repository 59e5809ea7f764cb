package edge

import (
	"math"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"lovagestream/core/member"
	"lovagestream/core/sched"
	"lovagestream/io/follow"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

func key(owner, id string) sched.Key { return sched.Key{Owner: owner, ID: id} }

// bootTime returns the time since boot. Unlike the monotonic clock it includes
// the time for which the machine was suspended.
func bootTime() time.Duration {
	var spc unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spc); err != nil {
		return 0
	}
	return time.Duration(spc.Nano())
}

func (evt evTick) apply(ctl *Control, now time.Time) {
	ctl.observeLateness(now, evt)
	if ctl.pathsStale.Swap(false) {
		ctl.updatePaths(now)
	}
	if ctl.sched.Jobs() > 0 {
		ctl.sched.Tick(now)
	}
	ctl.transferJobs(now)
	ctl.sendFrees(now)
	ctl.seekPeers(now)
	ctl.sendForwards(now)
	ctl.sendAnswers(now)
	ctl.shareStreams(now)
	ctl.endLookups(now)
	ctl.sendSounds(now)
	if now.Sub(ctl.heartbeatAt) >= ctl.mem.HeartbeatInterval() {
		ctl.heartbeatAt = now
		ctl.runPeriodic(now)
	}
	if now.Sub(ctl.poolsLoggedAt) >= poolLogPeriod && ctl.coordinator == ctl.set.AdvertisedAddr {
		ctl.poolsLoggedAt = now
		ctl.logPools(now)
	}
}

// poolLogPeriod is how often the state of the pools is logged.
const poolLogPeriod = time.Second

// logPools logs for each pool the requested pieces, the calls made, and the
// number of its servers in use and listed by the platform.
func (ctl *Control) logPools(now time.Time) {
	listed := map[string]int{}
	for _, ent := range ctl.live {
		listed[ent.Service]++
	}
	for _, sta := range ctl.sched.PoolStates(now) {
		ctl.log.Log("pool-state", lines.Fields{
			"service": sta.Service, "listed": listed[sta.Service], "servers": sta.Servers, "busy": sta.Busy, "waiting": sta.Waiting, "in-time": sta.OnTime,
			"asked": ctl.piecesRequested[sta.Service], "calls": sta.Calls, "pieces": sta.Pieces, "room": int(100 * sta.MemoryShare), "no-room": sta.OutOfMemory,
			"slow": math.Round(100*sta.Slowdown) / 100, "jobs": ctl.sched.Jobs(),
		})
	}
	clear(ctl.piecesRequested)
}

// resume drops the state from before a pause of the process: other instances have
// taken over its duties, servers may have left and keys may have been revoked.
func (ctl *Control) resume(now time.Time, gap time.Duration) {
	num := ctl.sched.Clear(now)
	ctl.sched.TakeOver(now)
	for _, req := range ctl.pending {
		if req.coordinator == ctl.set.AdvertisedAddr {
			// No instance schedules it now; reassignOrphans moves it at the next
			// update of the duties.
			req.coordinator = ""
		}
	}
	ctl.log.Log("resumed-after-pause", lines.Fields{"gap": gap.Milliseconds(), "jobs-dropped": num})
	ctl.verified = false
	ctl.resumedAt = now
	ctl.readConfig, ctl.readServers = false, false
	clear(ctl.relinked)
	clear(ctl.accounts.notices)
	for _, adr := range ctl.mem.Peers() {
		ctl.lnk.Disconnect(adr)
	}
	ctl.readDuty.Store(&follow.Duty{Reads: true, Readers: 1})
	ctl.rereadStore()
	ctl.viewStale = true
}

// verify accepts callers again once the store, or a peer over a link opened after
// the pause, has sent the current state.
func (ctl *Control) verify(now time.Time) {
	if ctl.verified {
		return
	}
	if ctl.readConfig && ctl.readServers || now.Sub(ctl.resumedAt) > verifyTimeout {
		ctl.verified = true
		ctl.viewStale = true
		ctl.log.Log("verified", lines.Fields{"took": now.Sub(ctl.resumedAt).Milliseconds(), "read": ctl.readConfig && ctl.readServers})
	}
}

func (ctl *Control) heartbeat(now time.Time) mesh.Heartbeat {
	hbt := member.Heartbeat{Ready: ctl.tab != nil && ctl.registry.Len() > 0 && ctl.verified, Leaving: ctl.stopping, StoreAge: -1, StoreFailing: ctl.storeFailing(), ServersLost: ctl.serversLost, Overloaded: ctl.throttle.Overloaded()}
	if !ctl.storeAt.IsZero() {
		hbt.StoreAge = now.Sub(ctl.storeAt)
	}
	if ctl.tab != nil {
		hbt.ConfigVersion = ctl.tab.Version()
	}
	hbt.ServerDigest = ctl.registry.Digest()
	ctl.mem.SetHeartbeat(hbt)
	return mesh.Heartbeat{Heartbeat: hbt}
}

// storeAgeStep is the change in the time of the store's last answer from which a
// full heartbeat is sent. Until then the peers overestimate the answer's age by up
// to this much.
const storeAgeStep = 500 * time.Millisecond

// sendHeartbeats sends a heartbeat to all peers: a full one if anything has
// changed since the last full one, else a repeat. A peer that couldn't be sent
// the full one, because its link's queue was full, gets it with the next
// heartbeat.
func (ctl *Control) sendHeartbeats(now time.Time) {
	hbt := ctl.heartbeat(now)
	sent := &ctl.sent
	again := hbt.Ready == sent.last.Ready && hbt.Leaving == sent.last.Leaving && hbt.ConfigVersion == sent.last.ConfigVersion && hbt.ServerDigest == sent.last.ServerDigest && hbt.ServersLost == sent.last.ServersLost && hbt.StoreFailing == sent.last.StoreFailing && hbt.Overloaded == sent.last.Overloaded &&
		ctl.storeAt.Sub(sent.storeAt) < storeAgeStep
	if !again {
		sent.last, sent.storeAt = hbt.Heartbeat, ctl.storeAt
	}
	for _, adr := range ctl.mem.Peers() {
		if again && !sent.missed[adr] {
			ctl.lnk.Send(adr, mesh.HeartbeatRepeat{})
			continue
		}
		if ctl.lnk.Send(adr, hbt) {
			delete(sent.missed, adr)
		} else {
			sent.missed[adr] = true
		}
	}
}

// seekPeriod is how long after its start an instance dials peers more often than
// with its heartbeats. In a restart of the complete fleet the last instances are up
// half a second after the first.
const seekPeriod = 800 * time.Millisecond

// seekPeers dials peers right after the start.
func (ctl *Control) seekPeers(now time.Time) {
	if now.Sub(ctl.startedAt) > seekPeriod {
		return
	}
	for _, adr := range ctl.mem.StartupDialTargets(now) {
		ctl.lnk.Dial(adr)
	}
}

// runPeriodic sends heartbeats, checks and dials peers, and does the other work
// of a heartbeat interval.
func (ctl *Control) runPeriodic(now time.Time) {
	ctl.sendHeartbeats(now)
	for _, adr := range ctl.mem.Silent(now) {
		ctl.log.Log("member-silent", lines.Fields{"member": adr})
		ctl.lnk.Disconnect(adr)
	}
	for _, adr := range ctl.mem.DialTargets(now) {
		ctl.lnk.Dial(adr)
	}
	ctl.applyDueRemovals(now)
	ctl.applyDueLimits(now)
	ctl.pauses.sweep(now)
	ctl.updateStreams(now)
	ctl.verify(now)
	ctl.announceMembers(now)
	ctl.updateDuties(now)
	ctl.updatePaths(now)
	ctl.divideAccounts(now)
	ctl.shareSpeeds(now)
	ctl.stats.Store(ctl.snapshot(now))
	ctl.viewStale = true
}

// updateDuties determines the coordinator and the store readers from the
// membership alone.
func (ctl *Control) updateDuties(now time.Time) {
	if next := ctl.mem.Coordinator(now); next != ctl.coordinator {
		ctl.log.Log("coordinator-changed", lines.Fields{"from": ctl.coordinator, "to": next})
		if ctl.coordinator == ctl.set.AdvertisedAddr {
			ctl.supersededAt = now
		}
		previous := ctl.coordinator
		ctl.coordinator = next
		clear(ctl.piecesRequested)
		if next == ctl.set.AdvertisedAddr {
			ctl.startCoordinating(now, previous)
			ctl.supersededAt = time.Time{}
		}
	}
	ctl.transferJobs(now)
	ctl.updateUnreachable(now)
	relays := ctl.mem.Relays(now)
	ctl.relays.Store(&relays)
	ctl.reassignOrphans(now)
	live, known := ctl.mem.Count(now)
	duty := follow.Duty{}
	duty.Reads, duty.Readers = ctl.mem.StoreReader(now)
	if !ctl.verified {
		duty = follow.Duty{Reads: true, Readers: 1}
	}
	if old := ctl.readDuty.Swap(&duty); old.Reads != duty.Reads {
		ctl.log.Log("store-duty", lines.Fields{"reads": duty.Reads, "readers": duty.Readers})
	}
	ctl.limits.limiter.SetMembers(now, live, known)
	ctl.limits.limiter.SetMembersUnknown(now, now.Sub(ctl.startedAt) < seekPeriod)
}

// startCoordinating makes this instance the coordinator in place of another one.
func (ctl *Control) startCoordinating(now time.Time, previous string) {
	ctl.adoptSpeeds(now)
	if ctl.mem.Live(now, previous) {
		// The previous coordinator is live: it transfers its jobs and frees the
		// results that it knows of.
		ctl.sched.ColdStart(now)
		return
	}
	ctl.sched.TakeOver(now)
}

// updateUnreachable updates the zones whose instances are all silent.
func (ctl *Control) updateUnreachable(now time.Time) {
	unreachable := ctl.mem.UnreachableZones(now)
	for zon := range unreachable {
		if !ctl.unreachable[zon] {
			ctl.log.Log("zone-silent", lines.Fields{"zone": zon})
		}
	}
	for zon := range ctl.unreachable {
		if !unreachable[zon] {
			ctl.log.Log("zone-speaks", lines.Fields{"zone": zon})
		}
	}
	ctl.unreachable = unreachable
	ctl.sched.SuspectZones(now, unreachable)
}

type evStop struct {
	closing bool
	// closingAt is when the process will have ended.
	closingAt time.Time
}

func (evt evStop) apply(ctl *Control, now time.Time) {
	ctl.stopping = true
	if evt.closing {
		ctl.closingAt = evt.closingAt
	}
	ctl.heartbeatAt = now
	ctl.runPeriodic(now)
}

// evSettings carries the current settings, after a signal or a periodic read.
type evSettings struct {
	set      Settings
	bySignal bool
}

func (evt evSettings) apply(ctl *Control, now time.Time) {
	if !evt.bySignal && slices.Equal(ctl.set.Seeds, evt.set.Seeds) {
		return
	}
	ctl.set.Seeds = evt.set.Seeds
	ctl.mem.SetSeeds(now, evt.set.Seeds)
	ctl.log.Log("settings-reloaded", lines.Fields{"seeds": len(evt.set.Seeds), "asked": evt.bySignal})
}
