package core

import (
	"time"

	"lovagestream/core/fleet"
)

// LeavingServer is a notice that a backend server is leaving.
type LeavingServer struct {
	id string
	// listRevision is the revision of the instance list that the notice refers
	// to. The notice does not apply to a server that a later list shows live
	// again.
	listRevision uint64
}

// NewLeavingServer returns a notice about a server of a list.
func NewLeavingServer(id string, listRevision uint64) LeavingServer {
	return LeavingServer{id: id, listRevision: listRevision}
}

// ID returns the backend server's identity.
func (lsv LeavingServer) ID() string { return lsv.id }

// ListRevision returns the revision of the list that the notice refers to.
func (lsv LeavingServer) ListRevision() uint64 { return lsv.listRevision }

// Heartbeat shows a peer that its sender is alive. It is sent periodically, and
// at once when its contents have changed.
type Heartbeat struct {
	// zone and address are empty if the receiver has shown that it knows them.
	zone    string
	address string
	leaving bool
	// wantsReply asks for a heartbeat back at once; a reply never sets it.
	wantsReply bool
	// knownIncarnation is the receiver's incarnation as the sender knows it.
	knownIncarnation uint64
	// seq counts the sender's heartbeats since its start. ack is the highest
	// seq that the sender received from the receiver's knownIncarnation; it
	// proves that this message was made after that heartbeat.
	seq uint64
	ack uint64
	// servers holds at most maxNotices notices of the last few seconds.
	servers []LeavingServer
}

// NewHeartbeat returns a heartbeat of an instance with the given availability
// zone and address.
func NewHeartbeat(zone, address string, leaving, wantsReply bool, servers []LeavingServer) Heartbeat {
	return Heartbeat{zone: zone, address: address, leaving: leaving, wantsReply: wantsReply, servers: servers}
}

// WithAck sets the receiver's incarnation as the sender knows it, the sequence
// number, and the highest sequence number received from the receiver.
func (msg Heartbeat) WithAck(knownIncarnation, seq, ack uint64) Heartbeat {
	msg.knownIncarnation, msg.seq, msg.ack = knownIncarnation, seq, ack
	return msg
}

// Zone returns the sender's availability zone; empty if the receiver knows it.
func (msg Heartbeat) Zone() string { return msg.zone }

// Address returns the address where the sender can be reached; empty if the
// receiver knows it.
func (msg Heartbeat) Address() string { return msg.address }

// Leaving reports whether the sender is about to stop.
func (msg Heartbeat) Leaving() bool { return msg.leaving }

// WantsReply reports whether the sender wants a heartbeat back at once.
func (msg Heartbeat) WantsReply() bool { return msg.wantsReply }

// Seq returns the sequence number, counted from the sender's start.
func (msg Heartbeat) Seq() uint64 { return msg.seq }

// Ack returns the highest of the receiver's sequence numbers that the sender
// received.
func (msg Heartbeat) Ack() uint64 { return msg.ack }

// KnownIncarnation returns the receiver's incarnation as the sender knows it; 0
// if unknown.
func (msg Heartbeat) KnownIncarnation() uint64 { return msg.knownIncarnation }

// Servers returns the recent notices of leaving backend servers.
func (msg Heartbeat) Servers() []LeavingServer { return msg.servers }

func (Heartbeat) message() {}

var _ Message = Heartbeat{}

// minHeartbeatGap is the least time between two heartbeats, so that a burst of
// changes goes out in one.
const minHeartbeatGap = 100 * time.Millisecond

// heartbeats is the component that exchanges heartbeats with other instances.
type heartbeats struct {
	ctl *Control
	// nextAt is when the next heartbeat is due; earliestAt is the earliest time
	// at which changes may be sent.
	nextAt     time.Time
	earliestAt time.Time
	// urgent is set when the contents of the heartbeat have changed.
	urgent bool
	// lastSent is the stamp of the last heartbeat.
	lastSent Stamp
	// seq is the sequence number of the last heartbeat.
	seq uint64
	// peers holds the last reported state of each member.
	peers map[string]*peerState
}

// peerState is what a member last reported.
type peerState struct {
	stamp Stamp
	// seq is its highest sequence number under the incarnation of the stamp.
	// ack is the highest of this instance's sequence numbers that it received.
	seq uint64
	ack uint64
	// knowsSelf is set while the member shows that it has received a heartbeat
	// from this start of this instance, and so knows its zone and address.
	knowsSelf bool
}

var _ component = (*heartbeats)(nil)

func newHeartbeats(ctl *Control) *heartbeats {
	return &heartbeats{ctl: ctl, peers: map[string]*peerState{}}
}

func (hbs *heartbeats) step(now time.Time, ev Event) []Decision {
	switch evt := ev.(type) {
	case resumed:
		hbs.ctl.members.Resumed(now)
		hbs.urgent = true
	case MessageReceived:
		return hbs.onMessage(now, evt)
	case LinkFailed:
		hbs.ctl.members.LinkFailed(now, evt.peer)
		if mem := hbs.ctl.members.Find(evt.peer); mem != nil && mem.State() == fleet.Live {
			hbs.urgent = true
		}
	case Stop:
		hbs.ctl.members.SetLeaving()
		hbs.urgent = true
	case Tick:
		if hbs.ctl.members.Tick(now) {
			hbs.ctl.dirty = true
		}
		hbs.prune()
	}
	return hbs.sendDue(now)
}

func (hbs *heartbeats) fill(vie *View) {
	for _, mem := range hbs.ctl.members.All() {
		revision := uint64(0)
		if per := hbs.peers[mem.ID()]; per != nil {
			revision = per.stamp.revision
		}
		vie.members = append(vie.members, Member{
			id: mem.ID(), zone: mem.Zone(), address: mem.Address(), incarnation: mem.Incarnation(),
			revision: revision, state: mem.State(), lastHeard: mem.LastHeard(), linked: hbs.ctl.members.Linked(mem.ID()),
		})
	}
}

// onMessage records the stamp of any message and applies a heartbeat.
func (hbs *heartbeats) onMessage(now time.Time, evt MessageReceived) []Decision {
	mem := hbs.ctl.members
	per := hbs.recordStamp(evt)
	msg, is := evt.msg.(Heartbeat)
	if !is {
		return nil
	}
	if mem.ApplyHeartbeat(now, evt.from, msg.zone, msg.address, msg.leaving) {
		hbs.ctl.dirty = true
	}
	hbs.refute(msg)
	per.seq = max(per.seq, msg.seq)
	per.knowsSelf = msg.knownIncarnation == hbs.ctl.opt.incarnation && msg.ack > 0
	if msg.knownIncarnation == hbs.ctl.opt.incarnation {
		per.ack = max(per.ack, msg.ack)
	}
	decs := hbs.sendDue(now)
	if msg.wantsReply {
		decs = append(decs, send(evt.from, hbs.heartbeatTo(evt.from, false)))
	}
	return decs
}

// recordStamp records the stamp of a message.
func (hbs *heartbeats) recordStamp(evt MessageReceived) *peerState {
	per := hbs.peers[evt.from]
	if per == nil || per.stamp.incarnation != evt.stamp.incarnation {
		per = &peerState{}
		hbs.peers[evt.from] = per
	}
	if per.stamp != evt.stamp {
		per.stamp = evt.stamp
		hbs.ctl.dirty = true
	}
	return per
}

// refute raises this instance's incarnation to one above that which the sender
// of a heartbeat knows, if that is higher; an equal or lower one changes nothing.
// Without this, an instance that restarted after its clock was set back would be
// taken for an old process, and all its messages would be ignored.
func (hbs *heartbeats) refute(msg Heartbeat) {
	opt := &hbs.ctl.opt
	if msg.knownIncarnation > opt.incarnation {
		opt.incarnation = msg.knownIncarnation + 1
		hbs.urgent = true
	}
}

// sendDue sends heartbeats when they are due or their contents have changed.
func (hbs *heartbeats) sendDue(now time.Time) []Decision {
	stm := hbs.ctl.stamp()
	changed := hbs.urgent || stm != hbs.lastSent
	if !hbs.ctl.ticked || now.Before(hbs.earliestAt) || (!changed && now.Before(hbs.nextAt)) {
		return nil
	}
	hbs.urgent, hbs.lastSent = false, stm
	hbs.nextAt = now.Add(fleet.HeartbeatInterval)
	hbs.earliestAt = now.Add(minHeartbeatGap)
	hbs.seq++
	decs := hbs.contactSeeds()
	for _, id := range hbs.ctl.members.Links() {
		hbs.ctl.members.HeartbeatSent(now, id)
		decs = append(decs, send(id, hbs.heartbeatTo(id, hbs.needsReply(id))))
	}
	if hbs.seq%fleet.ProbeEvery == 0 {
		for _, id := range hbs.ctl.members.Probes() {
			decs = append(decs, send(id, hbs.heartbeatTo(id, true)))
		}
	}
	return decs
}

// needsReply reports whether a member should answer at once: a member of
// another zone may send no heartbeats of its own to this instance, and an
// instance that is not synchronized waits for every answer.
func (hbs *heartbeats) needsReply(id string) bool {
	return !hbs.ctl.readiness.synced || hbs.ctl.members.Find(id).Zone() != hbs.ctl.opt.self.zone
}

// contactSeeds sends to the addresses from the settings while no member is
// known or all are in state Gone: an instance that starts while the platform is
// down has no list to start from.
func (hbs *heartbeats) contactSeeds() []Decision {
	if len(hbs.ctl.members.Links()) > 0 {
		return nil
	}
	var decs []Decision
	for _, adr := range hbs.ctl.opt.seeds {
		if adr != hbs.ctl.opt.self.address {
			decs = append(decs, Send{address: adr, msg: hbs.heartbeatTo("", true)})
		}
	}
	return decs
}

// prune drops the state of instances that are no longer members.
func (hbs *heartbeats) prune() {
	for id := range hbs.peers {
		if hbs.ctl.members.Find(id) == nil {
			delete(hbs.peers, id)
		}
	}
}

// peerAhead reports whether any instance in peers last reported a newer list than
// this instance has, or a newer configuration that was not refused here. The
// map holds each member that has sent a message, also a listed one in state Gone.
func (hbs *heartbeats) peerAhead() bool {
	own, _ := hbs.ctl.conf.version()
	for _, per := range hbs.peers {
		stm := per.stamp
		if stm.revision > own && !hbs.ctl.conf.wasRefused(stm.digest) {
			return true
		}
		if stm.listRevision > hbs.ctl.list.revision {
			return true
		}
	}
	return false
}

func (hbs *heartbeats) heartbeatTo(to string, wantsReply bool) Heartbeat {
	self := hbs.ctl.opt.self
	zone, address := self.zone, self.address
	if per := hbs.peers[to]; per != nil && per.knowsSelf {
		zone, address = "", ""
	}
	msg := NewHeartbeat(zone, address, hbs.ctl.stopping, wantsReply, hbs.ctl.list.recentNotices(hbs.ctl.now))
	knownIncarnation, ack := uint64(0), uint64(0)
	if mem := hbs.ctl.members.Find(to); mem != nil {
		knownIncarnation = mem.Incarnation()
	}
	if per := hbs.peers[to]; per != nil {
		ack = per.seq
	}
	return msg.WithAck(knownIncarnation, hbs.seq, ack)
}
