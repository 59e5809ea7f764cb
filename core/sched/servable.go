package sched

const (
	// reasonNoServer is the refusal reason if no listed server can serve a
	// request.
	reasonNoServer = "no-server"
	// reasonNoOther is the refusal reason if every server was tried.
	reasonNoOther = "no-other-server"
	// reasonNoVersion is the refusal reason if a stream can't go on: no server of the
	// software version that began it is left.
	reasonNoVersion = "no-server-of-version"
)

// servable reports whether each service that a job still needs has a server
// that is not leaving, whatever its load and health, and whether these servers
// have the memory for its results.
//
// If zones are evacuated until a service has no server left, waiting jobs can't
// be served, and their callers must be notified before their deadlines.
func (sch *Scheduler) servable(job *job) bool {
	if !sch.engines[job.spec.Service].HasServer(job.spec.Version, nil) {
		return false
	}
	for _, stg := range job.stages {
		if stg.remaining > 0 && (!stg.pool.hasServer() || !stg.fitsEmpty()) {
			return false
		}
	}
	return true
}

// unservable returns the refusal reason of a job that isn't servable.
func (sch *Scheduler) unservable(job *job) string {
	if eng := sch.engines[job.spec.Service]; job.spec.Version != "" && eng.HasServer("", nil) && !eng.HasServer(job.spec.Version, nil) {
		return reasonNoVersion
	}
	return reasonNoServer
}

// lacksVersion returns a refusal reason if a stream can't go on, since no other server of
// its software version is left; "" otherwise.
func (sch *Scheduler) lacksVersion(job *job) string {
	switch {
	case job.spec.Version == "":
		return ""
	case !sch.servable(job):
		return sch.unservable(job)
	case sch.exhausted(job):
		return reasonNoOther
	}
	return ""
}

// exhausted reports whether a job has tried every server of its service that is
// not leaving.
//
// If the few servers of a service are all full and each has refused a request,
// the request can't be placed any more; without this check it would wait until
// its caller gives up.
func (sch *Scheduler) exhausted(job *job) bool {
	if len(job.spec.Avoid) == 0 {
		return false
	}
	return !sch.engines[job.spec.Service].HasServer(job.spec.Version, job.spec.avoid())
}

// hasServer reports whether a pool has a server that is not leaving.
func (pol *pool) hasServer() bool {
	for _, ser := range pol.servers {
		if !ser.gone && !ser.ent.Leaving {
			return true
		}
	}
	return false
}
