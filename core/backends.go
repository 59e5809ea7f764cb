package core

import (
	"sort"
	"time"

	"lovagestream/core/fleet"
	"lovagestream/core/route"
)

const (
	// noticeRepeat is how long heartbeats repeat a leave notice, so that a lost
	// message is made up for by the next one.
	noticeRepeat = 5 * time.Second
	// noticeLifetime is how long any notice is kept. Until then it also marks a
	// server as leaving that was not in any list yet, once a list that is not
	// newer than the notice shows it.
	noticeLifetime = time.Minute
	// maxNotices bounds the notices kept, and those in one heartbeat.
	maxNotices = 64
)

// backend is the record of a backend server of the list. It stands for one run
// of the server's process (its incarnation), as far as lists show one;
// serverOfRow says when a new record is made.
type backend struct {
	srv *route.Server
	// firstRevision is the revision of the list from which this record was made,
	// the first to show this run of the server's process.
	firstRevision uint64
	// leavingByList is set once a list showed the server leaving. Only a later
	// list that shows it live again brings the server back, as a new run of its
	// process with a new record; a list that lags behind a leave notice does not.
	leavingByList bool
}

// leaveNotice records that a server announced its leaving ahead of the list.
type leaveNotice struct {
	// listRevision is the revision of the list that the notice refers to.
	listRevision uint64
	at           time.Time
}

// backends is the component for the instance list: backend servers and listed
// entry instances.
type backends struct {
	ctl *Control
	// revision is that of the list; 0 before the first. It only grows.
	revision uint64
	// hasList is set by the first list.
	hasList bool
	// rows is the list itself, for peers that are behind.
	rows []Instance
	// byID holds every backend server of the list.
	byID map[string]*backend
	// notices holds at most maxNotices leave notices, by server.
	notices map[string]leaveNotice
	// pulledAt is when a peer was last asked for its list.
	pulledAt time.Time
	// entries is the number of listed entry instances that are not leaving.
	entries int
}

var _ component = (*backends)(nil)

func newBackends(ctl *Control) *backends {
	return &backends{ctl: ctl, byID: map[string]*backend{}, notices: map[string]leaveNotice{}}
}

func (bck *backends) step(now time.Time, ev Event) []Decision {
	switch evt := ev.(type) {
	case ListRead:
		bck.applyList(now, evt.revision, evt.list)
	case ServerLeaving:
		bck.addNotice(now, evt.id, bck.revision)
	case MessageReceived:
		return bck.onMessage(now, evt)
	case Tick:
		bck.expireNotices(now)
	}
	return nil
}

func (bck *backends) onMessage(now time.Time, evt MessageReceived) []Decision {
	switch msg := evt.msg.(type) {
	case Heartbeat:
		for _, lsv := range msg.servers {
			bck.addNotice(now, lsv.id, lsv.listRevision)
		}
	case ListPull:
		if bck.revision == 0 {
			return nil
		}
		return []Decision{send(evt.from, FullList{revision: bck.revision, list: bck.rows})}
	case FullList:
		bck.pulledAt = time.Time{}
		bck.applyList(now, msg.revision, msg.list)
	}
	if evt.stamp.listRevision > bck.revision && now.Sub(bck.pulledAt) >= pullTimeout {
		bck.pulledAt = now
		return []Decision{send(evt.from, ListPull{})}
	}
	return nil
}

// applyList applies a list that is newer than the current one. An older list,
// from a platform replica or peer that lags, would bring leaving servers back.
func (bck *backends) applyList(now time.Time, revision uint64, list []Instance) {
	if bck.hasList && revision <= bck.revision && (revision != 0 || bck.revision != 0) {
		return
	}
	byID := map[string]*backend{}
	var rows []fleet.Row
	entries := 0
	for _, ins := range list {
		if ins.role == Backend {
			byID[ins.id] = bck.serverOfRow(revision, ins)
			continue
		}
		if ins.state != Leaving {
			entries++
		}
		rows = append(rows, fleet.NewRow(ins.id, ins.zone, ins.address, ins.state == Leaving))
	}
	bck.hasList, bck.revision, bck.rows, bck.byID = true, revision, list, byID
	bck.entries = entries
	bck.ctl.members.SetList(now, rows)
	bck.ctl.dirty = true
}

// serverOfRow returns the record for a row: the known one if the row shows the
// same run of the server's process. It makes a new one for a server that the
// last list lacked, that is live after a list showed it leaving, or whose address
// changed.
func (bck *backends) serverOfRow(revision uint64, ins Instance) *backend {
	got := bck.byID[ins.id]
	restarted := got != nil && got.leavingByList && ins.state != Leaving
	if got == nil || restarted || got.srv.Address() != ins.address {
		got = &backend{srv: route.NewServer(ins.id, ins.address, ins.zone, ins.pool), firstRevision: revision}
		if ntc, has := bck.notices[ins.id]; has && ntc.listRevision >= revision {
			got.srv.MarkLeaving()
		}
	}
	if ins.state == Leaving {
		got.leavingByList = true
		got.srv.MarkLeaving()
	}
	return got
}

// addNotice records a leave notice. The next heartbeat passes it on, at once if
// it is new.
func (bck *backends) addNotice(now time.Time, id string, listRevision uint64) {
	got := bck.byID[id]
	if got != nil && listRevision < got.firstRevision {
		// The notice is about an earlier run of the server's process.
		return
	}
	known, has := bck.notices[id]
	if has && known.listRevision >= listRevision {
		return
	}
	if !has && len(bck.notices) >= maxNotices {
		bck.dropOldestNotice()
	}
	bck.notices[id] = leaveNotice{listRevision: listRevision, at: now}
	bck.ctl.heartbeats.urgent = true
	if got != nil && !got.srv.Leaving() {
		got.srv.MarkLeaving()
		bck.ctl.dirty = true
	}
}

func (bck *backends) dropOldestNotice() {
	oldest := ""
	for id, ntc := range bck.notices {
		if oldest == "" || ntc.at.Before(bck.notices[oldest].at) || (ntc.at.Equal(bck.notices[oldest].at) && id < oldest) {
			oldest = id
		}
	}
	delete(bck.notices, oldest)
}

// expireNotices drops notices after noticeLifetime, when every list has caught
// up with them.
func (bck *backends) expireNotices(now time.Time) {
	for id, ntc := range bck.notices {
		if now.Sub(ntc.at) > noticeLifetime {
			delete(bck.notices, id)
		}
	}
}

// recentNotices returns the notices that heartbeats still repeat, sorted.
func (bck *backends) recentNotices(now time.Time) []LeavingServer {
	var got []LeavingServer
	for id, ntc := range bck.notices {
		if now.Sub(ntc.at) <= noticeRepeat {
			got = append(got, NewLeavingServer(id, ntc.listRevision))
		}
	}
	sort.Slice(got, func(i, j int) bool { return got[i].id < got[j].id })
	return got
}

func (bck *backends) fill(vie *View) {
	vie.listRevision = bck.revision
	vie.entries = bck.entries
	bck.fillBackends(vie)
	vie.pools = map[string][]*route.Server{}
	for _, got := range bck.byID {
		if srv := got.srv; !srv.Leaving() {
			vie.pools[srv.Pool()] = append(vie.pools[srv.Pool()], srv)
		}
	}
	// Map order is random; sorting keeps seeded choices reproducible. The order
	// by hash is the same on every entry instance, which routing relies on.
	for _, srvs := range vie.pools {
		sort.Slice(srvs, func(i, j int) bool { return srvs[i].Hash() < srvs[j].Hash() })
	}
}

// ListPull asks a peer for its instance list.
type ListPull struct{}

// NewListPull returns a request for the instance list.
func NewListPull() ListPull { return ListPull{} }

func (ListPull) message() {}

// FullList is a complete instance list.
type FullList struct {
	revision uint64
	list     []Instance
}

// NewFullList returns the list with the given revision.
func NewFullList(revision uint64, list []Instance) FullList {
	return FullList{revision: revision, list: list}
}

// Revision returns the list's revision.
func (msg FullList) Revision() uint64 { return msg.revision }

// List returns the rows.
func (msg FullList) List() []Instance { return msg.list }

func (FullList) message() {}

var (
	_ Message = ListPull{}
	_ Message = FullList{}
)
