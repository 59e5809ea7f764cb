package core

import (
	"time"

	"lovagestream/core/fleet"
)

// pauseThreshold is the gap between two steps from which the process counts as
// paused; the driver ticks many times within it.
const pauseThreshold = 1500 * time.Millisecond

// Control is the control state of one entry instance.
type Control struct {
	opt Options
	// now never runs backwards.
	now time.Time
	// started is the time of the first step.
	started time.Time
	// ticked is set by the first tick; gaps before it do not indicate a pause.
	ticked     bool
	members    *fleet.Members
	conf       *conf
	list       *backends
	heartbeats *heartbeats
	readiness  *readiness
	shares     *shares
	// components lists the components in the order in which they see events.
	components []component
	stopping   bool
	// dirty is set when the view no longer matches the state.
	dirty bool
	view  *View
}

var _ Stepper = (*Control)(nil)

// New returns a control state that has seen no event yet.
func New(opt Options) *Control {
	ctl := &Control{opt: opt, view: &View{}}
	ctl.members = fleet.NewMembers(opt.self.id, opt.self.zone)
	ctl.conf = newConf(ctl)
	ctl.list = newBackends(ctl)
	ctl.heartbeats = newHeartbeats(ctl)
	ctl.readiness = newReadiness(ctl)
	ctl.shares = newShares(ctl)
	ctl.components = []component{
		ctl.conf,
		ctl.list,
		ctl.heartbeats,
		ctl.readiness,
		ctl.shares,
		newWatcher(ctl),
		newIdempotency(ctl),
		newCrashes(ctl),
		newPlacer(ctl),
	}
	ctl.publish()
	return ctl
}

// View returns the snapshot left by the last step.
func (ctl *Control) View() *View { return ctl.view }

// Step applies one event and returns the decisions that follow from it.
func (ctl *Control) Step(now time.Time, ev Event) []Decision {
	decs := ctl.advance(now)
	if _, stop := ev.(Stop); stop {
		ctl.stopping = true
		ctl.dirty = true
	}
	decs = append(decs, ctl.deliver(ev)...)
	// The view carries the time of the last step, so that traffic goroutines
	// can detect a pause before the control thread does.
	if ctl.dirty {
		ctl.publish()
	} else if ctl.view.steppedAt != ctl.now {
		updated := *ctl.view
		updated.steppedAt = ctl.now
		ctl.view = &updated
	}
	ctl.completeSends(decs)
	return decs
}

// deliver passes an event to the components. It drops messages from an earlier
// start of a peer, which may still be in flight after the process was replaced,
// and sends that peer the incarnation known here: if the peer's start is in
// fact the later one, it raises its incarnation (see refute).
func (ctl *Control) deliver(ev Event) []Decision {
	evt, is := ev.(MessageReceived)
	if !is || ctl.members.MessageReceived(ctl.now, evt.from, evt.stamp.incarnation) {
		return ctl.dispatch(ev)
	}
	if msg, isHeartbeat := evt.msg.(Heartbeat); isHeartbeat && msg.wantsReply && evt.from != ctl.opt.self.id {
		return []Decision{send(evt.from, ctl.heartbeats.heartbeatTo(evt.from, false))}
	}
	return nil
}

func (ctl *Control) dispatch(ev Event) []Decision {
	var decs []Decision
	for _, com := range ctl.components {
		decs = append(decs, com.step(ctl.now, ev)...)
	}
	if _, tick := ev.(Tick); tick {
		ctl.ticked = true
	}
	return decs
}

// advance moves the time forward. A pause of the process shows as a gap between
// steps. During it, peers may have declared this instance dead and taken over
// its duties, so its state is outdated. The components see the resumed event
// before the event that ended the gap.
func (ctl *Control) advance(now time.Time) []Decision {
	gap := now.Sub(ctl.now)
	if gap <= 0 {
		return nil
	}
	first := ctl.now.IsZero()
	if first {
		ctl.started = now
	}
	ctl.now = now
	if first || !ctl.ticked || gap < pauseThreshold {
		return nil
	}
	ctl.dirty = true
	return append([]Decision{Resumed{gap: gap}}, ctl.dispatch(resumed{gap: gap})...)
}

// completeSends adds the receiver's address and this instance's stamp to each
// message.
func (ctl *Control) completeSends(decs []Decision) {
	for i, dec := range decs {
		snd, is := dec.(Send)
		if !is {
			continue
		}
		if mem := ctl.members.Find(snd.to); mem != nil && snd.address == "" {
			snd.address = mem.Address()
		}
		snd.stamp = ctl.stamp()
		decs[i] = snd
	}
}

// uptime returns the time since the first step.
func (ctl *Control) uptime() time.Duration { return ctl.now.Sub(ctl.started) }

func (ctl *Control) stamp() Stamp {
	revision, digest := ctl.conf.version()
	return NewStamp(ctl.opt.incarnation, revision, digest, ctl.list.revision)
}

// publish replaces the view. Readers of the old one may finish with it.
func (ctl *Control) publish() {
	vie := &View{stopping: ctl.stopping, steppedAt: ctl.now}
	for _, com := range ctl.components {
		com.fill(vie)
	}
	ctl.view = vie
	ctl.dirty = false
}
