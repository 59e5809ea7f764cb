package entry

import (
	"time"

	"lovagestream/core/call"
	"lovagestream/core/fair"
	"lovagestream/core/marks"
	"lovagestream/core/place"
	"lovagestream/core/resume"
	"lovagestream/core/sched"
	"lovagestream/core/stock"
	"lovagestream/core/table"
)

// View is an immutable snapshot of the control state, as far as request
// handling needs it. Control publishes a new one for each change; the fields
// are exported for that and must not be changed afterwards.
type View struct {
	// Table is nil before the first configuration.
	Table *table.Table
	// Servers holds the servers of each service, including leaving ones.
	Servers map[string][]stock.Entry
	// Unusable holds the servers that are leaving, gone or not at their
	// address.
	Unusable map[string]bool
	// SilentZones holds the zones whose entry instances are all silent.
	SilentZones map[string]bool
	// LimitedServers holds the servers that state a rate limit, BrittleServers the
	// rejections in a second that brittle servers survive, and LimitedServices the
	// services that have such a server. All are nil if there are none.
	LimitedServers  map[string]bool
	BrittleServers  map[string]int
	LimitedServices map[string]bool
	// Verified is false after the process was paused, until its state has been
	// confirmed by fresh messages.
	Verified bool
	// Stopping is set during a planned stop. ClosingAt is the time when the
	// stop ends; it is set once callers' connections should be closed.
	Stopping  bool
	ClosingAt time.Time
	// EndedStarts holds the starts of servers that seem to have ended. Another start with
	// other software may answer at their addresses. It is nil if there are none.
	EndedStarts map[string]bool
	// CloseConnections is set while the instance is short of processor time. Responses
	// say that their connection closes, since callers' next ones may meet others.
	CloseConnections bool
	// Marks holds the evidence against requests that crash servers.
	Marks *marks.Table
	// Live is the number of live entry instances, Known the number of all
	// recently known ones.
	Live  int
	Known int
	// Retries bounds what this instance sends again.
	Retries RetryLimits
	// UndividedAccounts turns the division of plain services between client
	// accounts off. Notices are the coordinator's last ones, by service.
	UndividedAccounts bool
	Notices           map[string]fair.Notice
}

// Connections returns how many connections this instance may hold to one server
// of a service: an even share of the server's connection limit, at least one. 0
// means that there is no limit. Those of the instances that observe it come first.
func (viw *View) Connections(service string) int {
	if viw.Table == nil {
		return 0
	}
	svc := viw.Table.Service(service)
	if svc == nil || svc.MaxConnections == 0 {
		return 0
	}
	most := svc.MaxConnections
	if viw.Table.Resumable(service) {
		most -= resume.Observers
	}
	return max(1, most/max(1, viw.Known))
}

// RunsPieces reports whether a service runs the pieces of stages.
func (viw *View) RunsPieces(service string) bool {
	if viw.Table == nil {
		return false
	}
	svc := viw.Table.Service(service)
	return svc != nil && svc.Batch != nil
}

// RetryLimits bounds the retries of all entry instances together: a ratio of
// the requests within a window, and a fixed number on top, of which this instance may use
// Part, in [0,1].
type RetryLimits struct {
	Ratio  float64
	Slack  int
	Window time.Duration
	Part   float64
}

// Control is the interface of the control state to request handling. Its
// methods don't block.
type Control interface {
	View() *View
	// Submit hands a request to its coordinator. The decision is sent through
	// the channel, once.
	Submit(spc sched.Spec) <-chan sched.Decision
	// Retry reports that a run of the request ended without an answer and asks
	// for another engine. inputsGone is set if the engine reported that an
	// input no longer exists.
	Retry(spc sched.Spec, how place.Outcome, inputsGone bool) <-chan sched.Decision
	// Withdraw ends a request that has no decision yet or is not running.
	Withdraw(id string)
	// Began reports that the response to a placed request began.
	Began(id string)
	// Ended reports that a placed request is over.
	Ended(id string, out place.Outcome)
	// StreamBegan records which software began a stream.
	StreamBegan(rec resume.Record)
	// FindStream looks for the record of a stream: by its ID or, if that is empty, by the
	// fingerprint of its request. The answer, sent through the channel once, is empty if
	// no instance that was asked has one.
	FindStream(id string, request uint64) <-chan resume.Record
	// Crashed reports that a server was lost with a request in flight. names are those of
	// the parts of its prompt; ended is set if the server refuses new connections.
	Crashed(req marks.Request, names []string, server string, ended bool)
	// Sound reports that a request with these fingerprints was answered.
	Sound(prints ...marks.Fingerprint)
	// ServerAnswered reports that a server answered a request that was sent at a time.
	ServerAnswered(server string, sent time.Time)
	// ObserveResponse passes on what a response says of its server.
	ObserveResponse(ent stock.Entry, ans call.ResponseHead)
	// MaySend returns a *pause.Error if the server accepts no requests from
	// this instance now.
	MaySend(server string) error
	// Paused returns which of the servers accept no requests from this instance
	// now. If none accepts any, wait is the time until the first one does
	// again.
	Paused(list []stock.Entry) (paused map[string]bool, wait time.Duration)
	// WrongServer reports that another server answered at a server's address.
	WrongServer(ent stock.Entry)
}
