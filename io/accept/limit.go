package accept

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// callersShare is the part of the process's file descriptors that callers' connections
	// may take. The others are for servers, other instances, the store and files.
	callersShare = 0.75
	// roomShare is the part of the connections that is closed at once to make room, so that a
	// flood of new ones costs one search for many of them.
	roomShare = 16
	// slowHead is how long a head may take before its connection is closed for others. A
	// complete one is passed on in less, also by a process that is late.
	slowHead = time.Second
	// searchInterval is the time between two searches that find too few connections.
	searchInterval = 50 * time.Millisecond
)

// MaxConns returns how many callers' connections the process's limit of file descriptors
// allows; 0 if it isn't known.
func MaxConns() int {
	var lim unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &lim) != nil {
		return 0
	}
	const unlimited = 1 << 20
	return int(callersShare * float64(min(lim.Cur, unlimited)))
}

// LimitConns bounds the open connections. At the bound, those that have waited longest for a
// request, or for the rest of its head, are closed for new ones. It must be called before the
// listener is used.
func (lis *Listener) LimitConns(most int) { lis.most = most }

// ClosedForRoom returns the number of connections that were closed to make room.
func (lis *Listener) ClosedForRoom() int64 {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	return lis.closed
}

// makeRoom closes connections if there are as many as there may be.
func (lis *Listener) makeRoom() {
	if !lis.roomIsDue() {
		return
	}
	type candidate struct {
		con   *Conn
		since time.Time
	}
	var list []candidate
	for _, con := range lis.snapshot() {
		if since, idle := con.idleSince(); idle {
			list = append(list, candidate{con, since})
		}
	}
	slices.SortFunc(list, func(one, two candidate) int { return cmp.Compare(one.since.UnixNano(), two.since.UnixNano()) })
	num, want := int64(0), int64(max(1, lis.most/roomShare))
	for _, can := range list {
		if num == want {
			break
		}
		if can.con.closeIfIdle() {
			num++
		}
	}
	lis.mu.Lock()
	defer lis.mu.Unlock()
	lis.closed += num
	if num < want {
		lis.searchedAt = lis.clk.Now()
	}
}

// roomIsDue reports whether connections should be closed for new ones.
func (lis *Listener) roomIsDue() bool {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	return lis.most > 0 && len(lis.conns) >= lis.most && lis.clk.Now().Sub(lis.searchedAt) > searchInterval
}
