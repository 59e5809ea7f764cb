package sched

import (
	"slices"
	"time"
)

// HeldResults describes results of one stage of one request that a backend
// server holds, as reported to the request's entry instance.
//
// If the coordinator crashes in a burst, results fill the memory of all
// servers. Without the reports, its successor would recompute the pieces in
// that full memory, with almost no progress until the results expire four
// seconds later. So entry instances keep the reports on their requests and
// submit them again with the request. A lost, late or wrong report only costs
// the recomputation of a piece; results are used only by the request that they
// were made for.
type HeldResults struct {
	Key     Key
	Attempt uint64
	Stage   int
	// Server is the ID of the server that holds the results. Addresses are
	// reused, so they don't identify it.
	Server string
	// Pieces and Handles have the same length.
	Pieces  []int
	Handles []string
	// Expires is when the server drops the results by itself.
	Expires time.Time
}

// valid reports whether the described pieces exist in the request and each has
// a handle.
func (hld *HeldResults) valid(spc *Spec) bool {
	if hld.Stage < 0 || hld.Stage >= min(len(spc.Stages), len(spc.Pieces)) || len(hld.Pieces) != len(hld.Handles) {
		return false
	}
	for idx, num := range hld.Pieces {
		if num < 0 || num >= spc.Pieces[hld.Stage] || hld.Handles[idx] == "" {
			return false
		}
	}
	return true
}

// AddResults adds a report to a request. A later report on a piece replaces an
// earlier one, since the piece was recomputed. Invalid reports are ignored.
func (spc *Spec) AddResults(hld HeldResults) {
	if !hld.valid(spc) {
		return
	}
	var kept []HeldResults
	for _, old := range spc.HeldResults {
		if old.Stage == hld.Stage {
			old = old.without(hld.Pieces)
		}
		if len(old.Pieces) > 0 {
			kept = append(kept, old)
		}
	}
	spc.HeldResults = spc.unconsumed(append(kept, hld))
}

func (hld HeldResults) without(pieces []int) HeldResults {
	out := hld
	out.Pieces, out.Handles = nil, nil
	for idx, num := range hld.Pieces {
		if !slices.Contains(pieces, num) {
			out.Pieces = append(out.Pieces, num)
			out.Handles = append(out.Handles, hld.Handles[idx])
		}
	}
	return out
}

// unconsumed removes the results of stages whose dependent stages are complete,
// because those were freed then.
func (spc *Spec) unconsumed(list []HeldResults) []HeldResults {
	have := make([]int, len(spc.Stages))
	for _, hld := range list {
		have[hld.Stage] += len(hld.Pieces)
	}
	return slices.DeleteFunc(list, func(hld HeldResults) bool {
		followed := false
		for num, stg := range spc.Stages {
			if !slices.Contains(stg.DependsOn, hld.Stage) {
				continue
			}
			followed = true
			if num >= len(spc.Pieces) || have[num] < spc.Pieces[num] {
				return false
			}
		}
		return followed
	})
}

// reportResults reports the results of a call to the entry instances of the
// requests.
func (sch *Scheduler) reportResults(act *activeCall) {
	if sch.ply.NoResultReports {
		return
	}
	var reports []HeldResults
	byStage := map[*stage]int{}
	for _, pie := range act.pieces {
		if pie.job.ended || pie.server != act.server || pie.state != stateDone {
			continue
		}
		idx, have := byStage[pie.stage]
		if !have {
			idx = len(reports)
			byStage[pie.stage] = idx
			reports = append(reports, HeldResults{Key: pie.job.spec.Key, Attempt: pie.job.spec.Attempt, Stage: pie.stage.num, Server: act.server.ent.ID, Expires: pie.expires})
		}
		reports[idx].Pieces = append(reports[idx].Pieces, pie.num)
		reports[idx].Handles = append(reports[idx].Handles, pie.handle)
	}
	for _, row := range reports {
		sch.out.ReportResults(row)
	}
}

// restore takes over the results of a job that another instance had before.
// Pieces whose server is gone or whose result has expired are recomputed.
func (sch *Scheduler) restore(now time.Time, job *job) {
	if len(job.spec.HeldResults) == 0 {
		return
	}
	seen := map[string]bool{}
	for _, hld := range job.spec.HeldResults {
		if !hld.valid(&job.spec) {
			continue
		}
		stg := job.stages[hld.Stage]
		ser := stg.pool.servers[hld.Server]
		if ser == nil || ser.gone || !now.Before(hld.Expires) {
			continue
		}
		for idx, num := range hld.Pieces {
			pie := stg.pieces[num]
			if pie.state == stateDone || seen[hld.Handles[idx]] {
				continue
			}
			seen[hld.Handles[idx]] = true
			ser.addResult(pie, hld.Handles[idx], hld.Expires)
			job.started = true
		}
	}
	job.spec.HeldResults = nil
	if job.started {
		sch.skipConsumed(job)
	}
}

// skipConsumed marks stages as done whose dependent stages are complete. Their
// results were freed; recompute produces them again if a dependent result is
// lost.
func (sch *Scheduler) skipConsumed(job *job) {
	for idx := len(job.stages) - 1; idx >= 0; idx-- {
		stg := job.stages[idx]
		if stg.final || !sch.consumed(job, stg) {
			continue
		}
		for _, pie := range stg.pieces {
			if pie.state != stateDone {
				pie.setState(stateDone)
				stg.remaining--
			}
		}
	}
}

// addResult records a result at the server that holds it.
func (ser *server) addResult(pie *piece, handle string, expires time.Time) {
	pie.setState(stateDone)
	pie.handle = handle
	pie.server = ser
	pie.expires = expires
	pie.stage.remaining--
	ser.results[pie] = true
	ser.take(pie)
}
