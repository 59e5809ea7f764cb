package core

import (
	"sort"

	"lovagestream/core/route"
)

// ServerState says whether a backend server may get new calls, and if not, why.
type ServerState string

// The states of a backend server.
const (
	// ServerLive servers may get new calls.
	ServerLive ServerState = "live"
	// ServerLeavingByList servers are leaving according to the instance list.
	ServerLeavingByList ServerState = "leaving-by-list"
	// ServerLeavingByNotice servers announced that they are leaving, here or to
	// a peer, before the list showed it.
	ServerLeavingByNotice ServerState = "leaving-by-word"
)

// ServerView is a backend server as this instance sees it, for the status.
type ServerView struct {
	server *route.Server
	state  ServerState
}

// NewServerView returns a view of a server in a state.
func NewServerView(srv *route.Server, state ServerState) ServerView {
	return ServerView{server: srv, state: state}
}

// Server returns the server with its counters.
func (srv ServerView) Server() *route.Server { return srv.server }

// State returns whether it may get new calls, and if not, why.
func (srv ServerView) State() ServerState { return srv.state }

// Backends returns every backend server of the instance list, sorted by pool
// and identity, including those that get no new calls.
func (vie *View) Backends() []ServerView { return vie.backends }

// fillBackends lists every server with its state.
func (bck *backends) fillBackends(vie *View) {
	vie.backends = make([]ServerView, 0, len(bck.byID))
	for _, got := range bck.byID {
		state := ServerLive
		switch {
		case got.leavingByList:
			state = ServerLeavingByList
		case got.srv.Leaving():
			state = ServerLeavingByNotice
		}
		vie.backends = append(vie.backends, NewServerView(got.srv, state))
	}
	sort.Slice(vie.backends, func(i, j int) bool {
		one, two := vie.backends[i].server, vie.backends[j].server
		if one.Pool() != two.Pool() {
			return one.Pool() < two.Pool()
		}
		return one.ID() < two.ID()
	})
}
