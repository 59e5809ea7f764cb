// Package reach decides on which way an entry instance sends requests to backend
// servers: over its own connections, or through another entry instance.
//
// Load pattern: an instance loses the network path to some or all servers, while
// callers and the other instances still reach it. Without another way its callers are
// refused for as long as that lasts, and sound servers are taken for failed ones.
//
// The package reads no clock and does no I/O.
package reach

import (
	"slices"
	"strings"
	"time"
)

const (
	// trialInterval is the least time between two trial connections to a server that
	// the instance can't connect to.
	trialInterval = 400 * time.Millisecond
	// lostServers is the number of servers of a service to which connections must fail,
	// without one that opens in between, before the path to all of them counts as lost;
	// minLostServers is the number for a service that has no more. With fewer, the
	// servers are the more likely cause.
	lostServers    = 3
	minLostServers = 2
	// unreachableTime is for how long a server that a relay couldn't reach either gets nothing
	// but trial connections.
	unreachableTime = time.Second
	// freshTime is for how long a failure says that the path doesn't work. Trial
	// connections repeat it sooner while that is so.
	freshTime = 1500 * time.Millisecond
	// quietTime is how long before a failure no server may have sent anything for the
	// path to all of them to be suspected.
	quietTime = 250 * time.Millisecond
	// maxPaths bounds the servers that are tracked; the largest deployment planned
	// has 900. pathTTL is how long an unused one is kept.
	maxPaths = 4096
	pathTTL  = time.Minute
)

// Server names a server by its service and address.
type Server struct {
	Service string
	Address string
}

// path is what is known of the network path to one server.
type path struct {
	// usedAt is when the path was last asked for or observed.
	usedAt time.Time
	// heardAt is when the server last sent anything.
	heardAt time.Time
	// failedAt is when a connection last failed to open; zero after one that opened.
	failedAt time.Time
	// triedAt is when the last trial connection began.
	triedAt time.Time
	// checkedAt is when the server last closed a connection with a request on it.
	checkedAt time.Time
	// unreachableUntil is until when the server counts as unreachable for all instances,
	// relayedAt is when another instance last reached it.
	unreachableUntil time.Time
	relayedAt        time.Time
}

// group is the state of the paths to the servers of one service.
type group struct {
	// failing are the servers to which connections failed from the time since to
	// failedAt. It is emptied by a connection that opens.
	failing  map[string]bool
	since    time.Time
	failedAt time.Time
	lost     bool
	// heardAt is when one of the servers last sent anything, opened a connection, or was
	// reached by another instance.
	heardAt time.Time
	// servers is the number of servers that are tracked.
	servers int
}

// Paths holds the state of the paths from one entry instance to the servers. It is not
// safe for concurrent use.
type Paths struct {
	paths  map[Server]*path
	groups map[string]*group
	// goodAt is when a server last sent anything, or a connection opened.
	goodAt time.Time
}

// NewPaths returns paths that are all taken to work.
func NewPaths() *Paths { return &Paths{paths: map[Server]*path{}, groups: map[string]*group{}} }

// path returns the state of a server's path.
func (pas *Paths) path(now time.Time, ser Server) *path {
	pth := pas.paths[ser]
	if pth == nil {
		if len(pas.paths) >= maxPaths {
			pas.Sweep(now)
		}
		pth = &path{}
		if len(pas.paths) < maxPaths {
			pas.paths[ser] = pth
			pas.group(ser.Service).servers++
		}
	}
	pth.usedAt = now
	return pth
}

// group returns the state of a service's paths.
func (pas *Paths) group(service string) *group {
	grp := pas.groups[service]
	if grp == nil {
		grp = &group{failing: map[string]bool{}}
		if len(pas.groups) < maxPaths {
			pas.groups[service] = grp
		}
	}
	return grp
}

// Way is how to send a request to a server.
type Way struct {
	// Relay is set if the request should go through another instance, Kept if it may
	// use an open connection all the same.
	Relay bool
	Kept  bool
	// Trial is set if a connection should be opened meanwhile, to learn whether the
	// path works again.
	Trial bool
	// Unreachable is set if other instances don't reach the server either, so that the request
	// fails unless it uses an open connection.
	Unreachable bool
}

// Way returns how to send a request now.
func (pas *Paths) Way(now time.Time, ser Server) Way {
	pth := pas.path(now, ser)
	if now.Before(pth.unreachableUntil) {
		return Way{Kept: pth.failedAt.IsZero() || pth.heardAt.After(pth.failedAt), Unreachable: true, Trial: pas.beginTrial(now, pth)}
	}
	since, lost := pas.lostSince(now, ser.Service)
	if !lost && now.Sub(pth.failedAt) < freshTime {
		since = pth.failedAt
	}
	if since.IsZero() {
		return Way{Kept: true}
	}
	return Way{Relay: true, Kept: pth.heardAt.After(since), Trial: pas.beginTrial(now, pth)}
}

// lostSince reports whether the path to the servers of a service is lost, and since
// when: that to the service's own servers, or that to all.
func (pas *Paths) lostSince(now time.Time, service string) (time.Time, bool) {
	if grp := pas.groups[service]; grp != nil && grp.isLost(now) {
		return grp.since, true
	}
	return pas.allLostSince(now)
}

func (grp *group) isLost(now time.Time) bool {
	return grp.lost && now.Sub(grp.failedAt) < freshTime
}

// allLostSince reports whether the path to all servers is lost, and since when. It is
// if that to one service is, and no other server was heard since.
func (pas *Paths) allLostSince(now time.Time) (since time.Time, lost bool) {
	for _, grp := range pas.groups {
		if grp.isLost(now) && !pas.goodAt.After(grp.since) {
			return grp.since, true
		}
	}
	return time.Time{}, false
}

// AllLost reports whether the path to all servers is lost.
func (pas *Paths) AllLost(now time.Time) bool {
	_, lost := pas.allLostSince(now)
	return lost
}

// Lost reports whether the path to the servers of a service is lost.
func (pas *Paths) Lost(now time.Time, service string) bool {
	_, lost := pas.lostSince(now, service)
	return lost
}

// LostServices returns the services to whose servers the path is lost, sorted.
func (pas *Paths) LostServices() []string {
	var out []string
	for name, grp := range pas.groups {
		if grp.lost {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// beginTrial reports whether a trial connection is due, and records it.
func (pas *Paths) beginTrial(now time.Time, pth *path) bool {
	if now.Sub(pth.triedAt) < trialInterval {
		return false
	}
	pth.triedAt = now
	return true
}

// Heard records that a server sent something.
func (pas *Paths) Heard(now time.Time, ser Server) {
	pas.path(now, ser).heardAt = now
	pas.group(ser.Service).heardAt = now
	pas.goodAt = now
}

// Connected records a connection that opened. It reports whether the path to the
// service's servers was lost before.
func (pas *Paths) Connected(now time.Time, ser Server) bool {
	pth, grp := pas.path(now, ser), pas.group(ser.Service)
	pth.failedAt, pth.unreachableUntil, pth.triedAt = time.Time{}, time.Time{}, time.Time{}
	pas.goodAt, grp.heardAt = now, now
	was := grp.lost
	grp.lost = false
	clear(grp.failing)
	if was {
		// The others are tried at once.
		for oth, pth := range pas.paths {
			if oth.Service == ser.Service {
				pth.triedAt = time.Time{}
			}
		}
	}
	return was
}

// ConnectFailed records a connection that didn't open. It reports whether the path to
// the service's servers has been lost with it.
func (pas *Paths) ConnectFailed(now time.Time, ser Server) bool {
	pth, grp := pas.path(now, ser), pas.group(ser.Service)
	pth.failedAt, grp.failedAt = now, now
	if now.Before(pth.unreachableUntil) {
		return false
	}
	if len(grp.failing) == 0 {
		grp.since = now
	}
	grp.failing[ser.Address] = true
	was := grp.lost
	grp.lost = was || len(grp.failing) >= grp.lostNumber()
	return grp.lost && !was
}

// lostNumber is the number of failing servers from which the path to all of the service
// counts as lost.
func (grp *group) lostNumber() int {
	return max(minLostServers, min(lostServers, grp.servers))
}

// Relayed records that another instance reached the server.
func (pas *Paths) Relayed(now time.Time, ser Server) {
	pth := pas.path(now, ser)
	pth.relayedAt, pth.unreachableUntil = now, time.Time{}
	pas.group(ser.Service).heardAt = now
}

// ReachedByOthers reports whether the instance can't connect to a server that others
// have reached since.
func (pas *Paths) ReachedByOthers(now time.Time, ser Server) bool {
	pth := pas.path(now, ser)
	return !pth.failedAt.IsZero() && now.Sub(pth.relayedAt) < unreachableTime
}

// Unreachable records that other instances couldn't connect to the server either. It
// reports whether the path to the service's servers no longer counts as lost.
func (pas *Paths) Unreachable(now time.Time, ser Server) bool {
	grp := pas.group(ser.Service)
	pas.path(now, ser).unreachableUntil = now.Add(unreachableTime)
	delete(grp.failing, ser.Address)
	was := grp.lost
	grp.lost = was && len(grp.failing) >= grp.lostNumber()
	return was && !grp.lost
}

// Started records that another server has started at an address: connections failed to the one
// before. It reports whether the path to the service's servers no longer counts as lost.
func (pas *Paths) Started(ser Server) bool {
	pth := pas.paths[ser]
	if pth == nil {
		return false
	}
	pth.failedAt, pth.unreachableUntil, pth.triedAt = time.Time{}, time.Time{}, time.Time{}
	grp := pas.group(ser.Service)
	delete(grp.failing, ser.Address)
	was := grp.lost
	grp.lost = was && len(grp.failing) >= grp.lostNumber()
	return was && !grp.lost
}

// ServiceUnreachable reports whether the servers of a service are likely out of reach for all
// instances: none was heard since a time, and as many as make a path count as lost
// failed when they were last tried.
func (pas *Paths) ServiceUnreachable(service string, since time.Time) bool {
	grp := pas.groups[service]
	if grp == nil || grp.heardAt.After(since) {
		return false
	}
	failed := 0
	for ser, pth := range pas.paths {
		if ser.Service == service && pth.failedAt.After(pth.heardAt) && pth.failedAt.After(pth.relayedAt) {
			failed++
		}
	}
	return failed >= grp.lostNumber()
}

// Silent reports whether no server has sent anything since a time.
func (pas *Paths) Silent(since time.Time) bool { return !pas.goodAt.After(since) }

// Suspects returns other servers to which a trial connection tells whether the path is
// lost, now that the one to the given server has failed. It returns none if that is
// known, or if any server was heard shortly before and the failure is not that of a check.
func (pas *Paths) Suspects(now time.Time, ser Server) []Server {
	pth := pas.path(now, ser)
	suspect := pas.Silent(now.Add(-quietTime)) || now.Sub(pth.checkedAt) < trialInterval
	if !suspect || pas.Lost(now, ser.Service) || now.Before(pth.unreachableUntil) {
		return nil
	}
	var out []Server
	for oth, pth := range pas.paths {
		if oth != ser && oth.Service == ser.Service && now.Sub(pth.failedAt) >= freshTime && now.Sub(pth.triedAt) >= trialInterval {
			out = append(out, oth)
		}
	}
	slices.SortFunc(out, func(one, two Server) int {
		if num := pas.paths[two].heardAt.Compare(pas.paths[one].heardAt); num != 0 {
			return num
		}
		return strings.Compare(one.Address, two.Address)
	})
	out = out[:min(len(out), lostServers-1)]
	for _, oth := range out {
		pas.paths[oth].triedAt = now
	}
	return out
}

// BeginTrial reports whether a trial connection to a server is due, and records it.
func (pas *Paths) BeginTrial(now time.Time, ser Server) bool {
	return pas.beginTrial(now, pas.path(now, ser))
}

// Trials returns a server of each service to which the path is lost, to which a trial
// connection should be opened now. Without them, an instance without callers would not
// learn that its path works again.
func (pas *Paths) Trials(now time.Time) []Server {
	var out []Server
	for _, name := range pas.LostServices() {
		var best Server
		var oldest *path
		for ser, pth := range pas.paths {
			if ser.Service != name || now.Sub(pth.triedAt) < trialInterval {
				continue
			}
			if oldest == nil || pth.triedAt.Before(oldest.triedAt) || pth.triedAt.Equal(oldest.triedAt) && ser.Address < best.Address {
				best, oldest = ser, pth
			}
		}
		if oldest != nil {
			oldest.triedAt = now
			out = append(out, best)
		}
	}
	return out
}

// Check records that a server closed a connection with a request on it. It reports
// whether a trial connection, which tells whether the path was the cause, is due.
func (pas *Paths) Check(now time.Time, ser Server) bool {
	pth := pas.path(now, ser)
	pth.checkedAt = now
	return pas.beginTrial(now, pth)
}

// Sweep drops the paths that were not used for a while.
func (pas *Paths) Sweep(now time.Time) {
	for ser, pth := range pas.paths {
		if now.Sub(pth.usedAt) > pathTTL {
			delete(pas.paths, ser)
			grp := pas.group(ser.Service)
			grp.servers--
			delete(grp.failing, ser.Address)
		}
	}
	for name, grp := range pas.groups {
		if grp.servers == 0 {
			delete(pas.groups, name)
		}
	}
}

// String lists what is set, for logs and tests.
func (way Way) String() string {
	var out []string
	for _, one := range []struct {
		set  bool
		name string
	}{{way.Relay, "relay"}, {way.Kept, "kept"}, {way.Trial, "trial"}, {way.Unreachable, "unreachable"}} {
		if one.set {
			out = append(out, one.name)
		}
	}
	return strings.Join(out, " ")
}
