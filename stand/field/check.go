package field

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"lovagestream/platform/fakes"
)

const (
	// quietBefore is how long before a period there must have been no disturbance
	// for guarantees with a time bound to be checked in it.
	quietBefore = 4 * time.Second
	// drainBound is how long a leaving server may still get requests; applyBound is
	// how long an older configuration may be used after a newer one was published.
	drainBound = 3 * time.Second
	applyBound = 3 * time.Second
	// clockSlack covers the checker's own delays in reading the clock.
	clockSlack = 300 * time.Millisecond
	// answerSlack is how long after its timeout a request may still be answered.
	answerSlack = time.Second
	// cancelBound is how long a server may go on with a canceled request.
	cancelBound = time.Second
	// minServedShare is the least share of requests that must be served after the
	// faults have ended.
	minServedShare = 0.9
)

// Report is the result of a run.
type Report struct {
	Requests int
	Served   int
	Refused  int
	Failed   int
	Canceled int
	Runs     int
	// KeepAlive counts requests on reused connections.
	KeepAlive int
	// Stops counts completed planned stops.
	Stops int
	// ClosedUnread counts requests on reused connections that a planned stop closed
	// before it had read them.
	ClosedUnread int
	// Unanswered counts those that were run and not answered.
	Unanswered int
	// TakenUp counts the streams that callers took up, WentOn those that went on.
	TakenUp, WentOn int
	// ReadNotRun counts those that were read, but neither run nor answered.
	ReadNotRun int
	Faults     map[string]int
	Problems   []string
}

// String returns a summary in one line.
func (rep Report) String() string {
	num := 0
	for _, cnt := range rep.Faults {
		num += cnt
	}
	return fmt.Sprintf("%d requests: %d served, %d refused, %d failed, %d canceled; %d on reused connections over %d stops: %d closed unread, %d run and unanswered, %d read and not run; %d of %d streams taken up went on; %d runs; %d faults; %d problems",
		rep.Requests, rep.Served, rep.Refused, rep.Failed, rep.Canceled, rep.KeepAlive, rep.Stops, rep.ClosedUnread, rep.Unanswered, rep.ReadNotRun, rep.WentOn, rep.TakenUp, rep.Runs, num, len(rep.Problems))
}

// checker compares the callers' results with the servers' journal.
type checker struct {
	cluster *Cluster
	runs    map[string][]fakes.Run
	handles map[string]string
	servers map[string]*server
	// closedUnread, unanswered and readNotRun count requests on reused connections as
	// Report does.
	closedUnread, unanswered, readNotRun int
}

// report checks all guarantees and returns the report.
func (clu *Cluster) report() Report {
	chk := &checker{cluster: clu, runs: clu.jou.All(), handles: map[string]string{}, servers: clu.servers}
	rep := Report{Faults: clu.faults, Stops: clu.stops}
	known := map[string]*request{}
	for _, rqt := range clu.requests {
		known[rqt.id] = rqt
		rep.Requests++
	}
	for id, runs := range chk.runs {
		for _, run := range runs {
			rep.Runs++
			if run.Handle != "" {
				chk.handles[run.Handle] = id
			}
			if known[id] == nil {
				clu.addProblem("UNASKED %q ran at %s but was never sent: %s %s %v", id, run.Server, run.Method, run.Target, run.Header)
			}
		}
	}
	for _, rqt := range clu.requests {
		rep.count(rqt)
		chk.checkRequest(rqt)
	}
	for _, ser := range clu.servers {
		chk.checkLimits(ser)
		chk.checkPauses(ser, known)
	}
	chk.checkAnnounced()
	chk.checkEvacuated()
	clu.checkShares()
	rep.ClosedUnread, rep.Unanswered, rep.ReadNotRun = chk.closedUnread, chk.unanswered, chk.readNotRun
	sort.Strings(clu.problems)
	rep.Problems = clu.problems
	return rep
}

func (rep *Report) count(rqt *request) {
	if rqt.keepAlive {
		rep.KeepAlive++
	}
	if rqt.resumes != nil {
		rep.TakenUp++
		if rqt.status == http.StatusOK {
			rep.WentOn++
		}
	}
	switch {
	case !rqt.canceledAt.IsZero():
		rep.Canceled++
	case rqt.err == nil && rqt.status == http.StatusOK:
		rep.Served++
	case rqt.err == nil && saysNotRun(rqt):
		rep.Refused++
	default:
		rep.Failed++
	}
}

// saysNotRun reports whether the answer says that the request was not run.
func saysNotRun(rqt *request) bool {
	switch rqt.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return rqt.signer == ""
	}
	return false
}

// checkLimits checks that a server with a rate limit did not get more requests than
// that, outside of unplanned disturbances.
func (chk *checker) checkLimits(ser *server) {
	for _, ovr := range ser.fake.CheckLimits(quietBefore).Overruns {
		if !chk.cluster.disturbedAnywhere(ovr.From.Add(-quietBefore), ovr.To) {
			chk.cluster.addProblem("LIMIT %s %s", ser.fake.ID, ovr)
		}
	}
}

// checkPauses checks that a server that asked an instance for a pause got at most the
// few requests from it that may still arrive after the pause has begun.
func (chk *checker) checkPauses(ser *server, known map[string]*request) {
	arrivals := ser.fake.Arrivals()
	for idx, rejection := range arrivals {
		rqt := known[rejection.ID]
		if rejection.RetryAfter == 0 || rqt == nil {
			continue
		}
		from, until := rejection.At.Add(fakes.PauseGrace), rejection.At.Add(rejection.RetryAfter)
		num := 0
		for _, oth := range arrivals[idx+1:] {
			if got := known[oth.ID]; got != nil && got.instance == rqt.instance && oth.At.After(from) && oth.At.Before(until) {
				num++
			}
		}
		if num > fakes.MaxLateArrivals && !chk.cluster.disturbedOrStopped(rejection.At, until, rqt.instance) {
			chk.cluster.addProblem("BUDGET %s asked %s for a pause of %s and got %d requests in it", ser.fake.ID, rqt.instance.boot.Name, rejection.RetryAfter, num)
		}
	}
}

// checkAnnounced checks that an instance that relayed a response announcing that its
// server leaves sends later requests to other servers.
func (chk *checker) checkAnnounced() {
	type relay struct {
		server string
		by     *instance
	}
	first := map[relay]time.Time{}
	for _, rqt := range chk.cluster.requests {
		for _, run := range chk.ownRuns(rqt) {
			ser := chk.servers[run.Server]
			announced := ser != nil && !ser.announcedAt.IsZero() && run.At.After(ser.announcedAt) && rqt.signer == run.Server
			key := relay{run.Server, rqt.instance}
			if at, have := first[key]; announced && (!have || rqt.end.Before(at)) {
				first[key] = rqt.end
			}
		}
	}
	for _, rqt := range chk.cluster.requests {
		for _, run := range chk.ownRuns(rqt) {
			at, have := first[relay{run.Server, rqt.instance}]
			if have && rqt.start.After(at.Add(drainBound+clockSlack)) && !chk.cluster.disturbedOrStopped(at, run.At, rqt.instance) {
				chk.cluster.addProblem("DRAIN %s ran at %s %s after %s relayed that the server leaves", rqt.id, run.Server, run.At.Sub(at), rqt.instance.boot.Name)
			}
		}
	}
}

// ownRuns returns a request's runs, without those of its pieces.
func (chk *checker) ownRuns(rqt *request) []fakes.Run {
	var out []fakes.Run
	for _, run := range chk.runs[rqt.id] {
		if run.Handle == "" {
			out = append(out, run)
		}
	}
	return out
}

func (chk *checker) checkRequest(rqt *request) {
	runs := chk.ownRuns(rqt)
	repeatable := rqt.route == "often" || rqt.route == "resume"
	switch {
	case !rqt.done:
		chk.cluster.addProblem("LOST %s at %s has no outcome", rqt.id, rqt.instance.boot.Name)
		return
	case len(runs) > 1 && !repeatable:
		chk.cluster.addProblem("TWICE %s (route %s) ran %d times", rqt.id, rqt.route, len(runs))
	case rqt.err == nil && saysNotRun(rqt) && len(runs) > 0:
		chk.cluster.addProblem("REFUSED %s got status %d, which means not run, but ran at %s", rqt.id, rqt.status, runs[0].Server)
	}
	for _, run := range runs {
		chk.checkRun(rqt, run)
	}
	chk.checkAnswer(rqt, runs)
	chk.checkVersions(rqt)
	chk.checkTimes(rqt, runs)
}

// checkRun checks one run of a request: its content, inputs, server and
// configuration.
func (chk *checker) checkRun(rqt *request, run fakes.Run) {
	clu := chk.cluster
	if run.Method != http.MethodPost || run.Target != rqt.target() || run.Body != rqt.body && !run.Unread {
		clu.addProblem("UNASKED %s was changed before it ran: %s %s %q", rqt.id, run.Method, run.Target, run.Body)
	}
	if run.Account() != rqt.account {
		clu.addProblem("UNASKED %s of %q ran for the account %q", rqt.id, rqt.account, run.Account())
	}
	inputs := run.Inputs()
	for _, han := range inputs {
		if chk.handles[han] != rqt.id {
			clu.addProblem("MIXED %s got the input %s of %q", rqt.id, han, chk.handles[han])
		}
	}
	staged := rqt.route == "llm" || rqt.route == "resume"
	if staged && len(inputs) != 1 && len(inputs) != 3 || !staged && len(inputs) > 0 {
		clu.addProblem("MIXED %s ran with %d inputs", rqt.id, len(inputs))
	}
	ser := chk.servers[run.Server]
	if !chk.mayRun(rqt, ser) {
		clu.addProblem("ROUTE %s (route %s) ran at %s", rqt.id, rqt.route, run.Server)
	}
	if !ser.leavingSince.IsZero() && run.At.After(ser.leavingSince.Add(drainBound+clockSlack)) && !clu.disturbed(ser.leavingSince.Add(-quietBefore), run.At, rqt.instance) {
		clu.addProblem("DRAIN %s ran at %s %s after the server was leaving", rqt.id, run.Server, run.At.Sub(ser.leavingSince))
	}
	if rqt.route == "often" && chk.usesOldConfig(ser.service, rqt, run) {
		clu.addProblem("CONFIG %s ran at %s, which only an older configuration allowed", rqt.id, run.Server)
	}
}

func (chk *checker) mayRun(rqt *request, ser *server) bool {
	switch {
	case ser == nil:
		return false
	case rqt.route == "once":
		return ser.service == "plain"
	case rqt.route == "often":
		return ser.kind == "plain"
	}
	return ser.kind == "model"
}

// usesOldConfig reports whether the service of a run was allowed only by versions
// that had been replaced more than applyBound before the request was sent.
func (chk *checker) usesOldConfig(service string, rqt *request, run fakes.Run) bool {
	from := rqt.start.Add(-applyBound - clockSlack)
	for idx, chg := range chk.cluster.changes {
		over := idx+1 < len(chk.cluster.changes) && chk.cluster.changes[idx+1].at.Before(from)
		if !over && chg.service == service && chg.at.Before(run.At) {
			return false
		}
	}
	return !chk.cluster.disturbed(from.Add(-quietBefore), run.At, rqt.instance)
}

// checkAnswer checks the response that the caller got.
func (chk *checker) checkAnswer(rqt *request, runs []fakes.Run) {
	clu := chk.cluster
	want := fakes.ResponseBody(rqt.route, rqt.id)
	if rqt.resumes != nil {
		want = fakes.EventsAfter(rqt.id, rqt.last)
	}
	switch {
	case rqt.status == http.StatusOK && rqt.err == nil && rqt.answer != want:
		clu.addProblem("MIXED %s got %q as a complete answer", rqt.id, rqt.answer)
	case rqt.status == http.StatusOK && !strings.HasPrefix(want, completeEvents(rqt)):
		clu.addProblem("ORDER %s got events out of order: %q", rqt.id, rqt.answer)
	}
	if rqt.signer == "" {
		if rqt.status == http.StatusOK {
			clu.addProblem("MIXED %s got status 200 without the name of a server", rqt.id)
		}
		return
	}
	for _, run := range runs {
		if run.Server == rqt.signer {
			return
		}
	}
	clu.addProblem("MIXED %s got an answer of %s, which did not run it", rqt.id, rqt.signer)
}

// checkVersions checks that a stream holds events of one software version, over its
// caller's attempts too.
func (chk *checker) checkVersions(rqt *request) {
	versions := slices.Clone(rqt.versions)
	if rqt.resumes != nil {
		versions = slices.Concat(rqt.resumes.versions, versions)
	}
	slices.Sort(versions)
	if versions = slices.Compact(versions); len(versions) > 1 && !chk.ranUnannounced(rqt) {
		chk.cluster.addProblem("ORDER %s holds events of the versions %v", rqt.id, versions)
	}
}

// ranUnannounced reports whether a stream ran at a server whose entry was that of an
// earlier start.
func (chk *checker) ranUnannounced(rqt *request) bool {
	for ; rqt != nil; rqt = rqt.resumes {
		for _, run := range chk.ownRuns(rqt) {
			for _, spn := range chk.servers[run.Server].unannounced {
				if run.At.After(spn.from) && run.At.Before(spn.to) {
					return true
				}
			}
		}
	}
	return false
}

// eventEnd terminates an event of a stream.
const eventEnd = "\n\n"

// completeEvents returns the answer up to its last complete event, since an answer
// that was cut off may end within one.
func completeEvents(rqt *request) string {
	if rqt.err == nil || rqt.route == "once" || rqt.route == "often" {
		return rqt.answer
	}
	cut := strings.LastIndex(rqt.answer, eventEnd)
	if cut < 0 {
		return ""
	}
	return rqt.answer[:cut+len(eventEnd)]
}

// checkTimes checks guarantees with a time bound.
func (chk *checker) checkTimes(rqt *request, runs []fakes.Run) {
	clu := chk.cluster
	if clu.disturbed(rqt.start.Add(-quietBefore), rqt.end, rqt.instance) {
		return
	}
	if rqt.canceledAt.IsZero() && rqt.end.Sub(rqt.start) > routeTimeout+answerSlack {
		clu.addProblem("CONFIG %s took %s, past its timeout", rqt.id, rqt.end.Sub(rqt.start))
	}
	if rqt.canceledAt.IsZero() && rqt.err != nil {
		chk.checkBroken(rqt, runs)
	}
	for _, run := range runs {
		if !rqt.canceledAt.IsZero() && rqt.route != "once" && run.Ended.After(rqt.canceledAt.Add(cancelBound)) {
			clu.addProblem("GONE %s was still running %s after its caller canceled it", rqt.id, run.Ended.Sub(rqt.canceledAt))
		}
	}
}

// checkBroken checks a request whose connection ended before its response did,
// without an unplanned disturbance. This is allowed only if a planned stop closed
// the connection before it had read the whole request, which then must not run.
func (chk *checker) checkBroken(rqt *request, runs []fakes.Run) {
	clu := chk.cluster
	name := rqt.instance.boot.Name
	switch {
	case len(runs) > 0:
		// Past its deadline it is a problem too, but not one of the planned stop.
		if rqt.keepAlive && rqt.end.Sub(rqt.start) < routeTimeout {
			chk.unanswered++
		}
		clu.addProblem("LOST %s (route %s) at %s ran at %s and was not answered: %v, %s after it was sent", rqt.id, rqt.route, name, runs[0].Server, rqt.err, rqt.end.Sub(rqt.start))
	case !clu.inPlannedStop(rqt):
		clu.addProblem("LOST %s at %s: %v", rqt.id, name, rqt.err)
	case rqt.keepAlive && !rqt.unread:
		chk.readNotRun++
		clu.addProblem("LOST %s (route %s) at %s was read and its connection closed without a response: %v, %s after it was sent", rqt.id, rqt.route, name, rqt.err, rqt.end.Sub(rqt.start))
	case rqt.keepAlive:
		chk.closedUnread++
	}
}

// disturbed reports whether an unplanned disturbance that affects the instance
// overlaps the period.
func (clu *Cluster) disturbed(from, to time.Time, ins *instance) bool {
	for _, dis := range clu.disturbances {
		concerns := dis.instance == nil || dis.instance == ins
		if dis.planned || !concerns {
			continue
		}
		if dis.from.Before(to) && (dis.to.IsZero() || dis.to.After(from)) {
			return true
		}
	}
	return false
}

// disturbedOrStopped reports whether the instance may have lost its state in the
// period, be it through an unplanned disturbance or a planned one of its own, such
// as a planned stop.
func (clu *Cluster) disturbedOrStopped(from, to time.Time, ins *instance) bool {
	for _, dis := range clu.disturbances {
		if dis.instance == ins && dis.from.Before(to) && (dis.to.IsZero() || dis.to.After(from)) {
			return true
		}
	}
	return clu.disturbed(from, to, ins)
}

// disturbedAnywhere reports whether any unplanned disturbance overlaps the period.
func (clu *Cluster) disturbedAnywhere(from, to time.Time) bool {
	for _, dis := range clu.disturbances {
		if !dis.planned && dis.from.Before(to) && (dis.to.IsZero() || dis.to.After(from)) {
			return true
		}
	}
	return false
}

// inPlannedStop reports whether a planned disturbance of the request's instance
// overlaps the request.
func (clu *Cluster) inPlannedStop(rqt *request) bool {
	for _, dis := range clu.disturbances {
		if dis.planned && dis.instance == rqt.instance && dis.from.Before(rqt.end) && (dis.to.IsZero() || dis.to.After(rqt.start)) {
			return true
		}
	}
	return false
}

// countServed counts the requests that were sent since a time and not canceled, and
// those of them that were served.
func (clu *Cluster) countServed(from time.Time) (served, all int) {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	for _, rqt := range clu.requests {
		if rqt.start.Before(from) || !rqt.canceledAt.IsZero() {
			continue
		}
		all++
		if rqt.done && rqt.err == nil && rqt.status == http.StatusOK {
			served++
		}
	}
	return served, all
}
