package fleet

import "time"

// Failure detection timeouts. A member is linked while this instance sends it
// heartbeats; only then is its silence evidence of a failure.
const (
	// HeartbeatInterval is the interval between heartbeats of linked members.
	HeartbeatInterval = time.Second
	// SuspectAfter is the silence after which a member is suspected: one
	// heartbeat lost and the next overdue.
	SuspectAfter = 2 * time.Second
	// GoneAfter is the silence after which a member gets no more requests.
	GoneAfter = 10 * time.Second
	// reconnectGrace is the time after a broken connection within which a
	// member must be heard over another. It detects a dead process sooner than
	// SuspectAfter does.
	reconnectGrace = 500 * time.Millisecond
	// linkFailureExpiry is how long a broken connection counts against a member
	// that gets no heartbeats.
	linkFailureExpiry = 30 * time.Second
	// ProbeEvery is the number of heartbeat intervals between probes of members
	// that are gone but still listed. After a partition it determines how soon
	// both sides reconnect.
	ProbeEvery = 3
)

// Row is one entry instance in the platform's list.
type Row struct {
	id      string
	zone    string
	address string
	leaving bool
}

// NewRow returns a row of the platform's list.
func NewRow(id, zone, address string, leaving bool) Row {
	return Row{id: id, zone: zone, address: address, leaving: leaving}
}

// Member is another entry instance.
type Member struct {
	id      string
	zone    string
	address string
	// incarnation is the highest one received; 0 before the first message.
	incarnation uint64
	// listed and listLeaving are what the platform's list says.
	listed      bool
	listLeaving bool
	// announcedLeaving is set if the member itself announced that it is
	// leaving. It holds for its incarnation, and the list never clears it.
	announcedLeaving bool
	// lastHeard is when its last message arrived; zero before the first.
	lastHeard time.Time
	// unansweredSince is when the first heartbeat since its last message was
	// sent to it, or zero.
	unansweredSince time.Time
	// goneAt is when it was found gone, or zero. It stays gone until it is
	// heard or is no longer listed.
	goneAt time.Time
	// linkFailedAt is when a connection to it broke or could not be made, or
	// zero.
	linkFailedAt time.Time
	state        State
}

// ID returns the identity.
func (mem *Member) ID() string { return mem.id }

// Zone returns the availability zone.
func (mem *Member) Zone() string { return mem.zone }

// Address returns the member's address.
func (mem *Member) Address() string { return mem.address }

// Incarnation returns the highest incarnation received; 0 before the first
// message.
func (mem *Member) Incarnation() uint64 { return mem.incarnation }

// LastHeard returns when the member's last message arrived; zero before the
// first.
func (mem *Member) LastHeard() time.Time { return mem.lastHeard }

// State returns the state of the member as this instance sees it.
func (mem *Member) State() State { return mem.state }

// stateAt returns the state at a time.
func (mem *Member) stateAt(now time.Time) State {
	if !mem.goneAt.IsZero() {
		return Gone
	}
	since := mem.lastHeard
	if mem.unansweredSince.After(since) {
		since = mem.unansweredSince
	}
	silence := now.Sub(since)
	switch {
	case since.IsZero() && !mem.listed:
		return Gone
	case !since.IsZero() && silence >= GoneAfter && (!mem.listed || !mem.unansweredSince.IsZero()):
		return Gone
	case !mem.listed && !mem.unansweredSince.IsZero() && silence >= SuspectAfter:
		return Gone
	case mem.announcedLeaving || mem.listLeaving:
		return Leaving
	case mem.linkFailedAt.After(mem.lastHeard) && now.Sub(mem.linkFailedAt) >= reconnectGrace && now.Sub(mem.linkFailedAt) < linkFailureExpiry:
		return Suspected
	case !mem.unansweredSince.IsZero() && silence >= SuspectAfter:
		return Suspected
	default:
		return Live
	}
}
