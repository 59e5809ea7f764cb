package replay

import (
	"fmt"
	"time"

	"lovagestream/core/rates"
	"lovagestream/core/sched"
)

const (
	// powerLossDetection is how long the other instances take to notice that an
	// instance's machine lost power. The links of a killed process end at once.
	powerLossDetection = 850 * time.Millisecond
	killDetection      = 5 * time.Millisecond
	// connectTimeout bounds how long callers wait for a connection.
	connectTimeout = time.Second
	// discoveryTime is how long instances that start together take to find each
	// other.
	discoveryTime = 300 * time.Millisecond
)

// restartAll ends all instances at once and restarts them after the downtime.
// Callers with a request in progress retry once, after a random delay.
func (sim *simulation) restartAll(down time.Duration) {
	sim.allDown = true
	sim.lostAt = sim.now
	last := sim.instances[len(sim.instances)-1]
	last.lost = true
	for _, ser := range sim.servers {
		ser.dropCalls(last)
	}
	for num, req := range sim.requests {
		if req.ended || req.served {
			continue
		}
		req.ended = true
		if req.attempts == 1 {
			wait := down + time.Duration(sim.rnd.Float64()*float64(connectTimeout))
			sim.after(wait, func() { sim.submit(req, fmt.Sprintf("r%d-back", num+1)) })
		}
	}
	sim.after(down, func() {
		sim.allDown, sim.unlinked = false, sim.scn.Instances
		for range sim.unlinked {
			sim.addInstance()
			sim.instances[len(sim.instances)-1].sch.ColdStart(sim.now)
		}
	})
	sim.after(down+discoveryTime, func() {
		for _, ins := range sim.instances[len(sim.instances)-sim.unlinked : len(sim.instances)-1] {
			ins.replacedAt = sim.now
		}
		sim.unlinked = 0
	})
}

// loseCoordinator ends the coordinator. Another instance takes over after the
// detection time. Each entry instance then hands its requests over by itself,
// the instances spaced evenly over the spread.
func (sim *simulation) loseCoordinator(detection, spread time.Duration) {
	ins := sim.instances[len(sim.instances)-1]
	ins.lost = true
	sim.lostAt = sim.now
	for _, ser := range sim.servers {
		ser.dropCalls(ins)
	}
	sim.after(detection, func() {
		sim.addInstance()
		nxt := len(sim.instances) - 1
		sim.instances[nxt].sch.TakeOver(sim.now)
		if !sim.forgetSpeeds {
			sim.instances[nxt].sch.MergeSpeeds(ins.sch.SpeedRecords())
		}
		for num := range sim.scn.Instances {
			sim.after(time.Duration(num)*spread/time.Duration(sim.scn.Instances), func() { sim.handOver(num, ins.num, nxt) })
		}
	})
}

// handOver resubmits the requests of one entry instance to the new coordinator.
func (sim *simulation) handOver(owner, from, to int) {
	for idx, req := range sim.requests {
		if idx%sim.scn.Instances == owner && !req.ended && req.coordinator == from {
			req.coordinator = to
			sim.forward(req)
		}
	}
}

func (sim *simulation) addInstance() {
	ins := &instance{sim: sim, num: len(sim.instances)}
	ins.sch = sched.New(ins, rates.NewLimiter()).WithPolicy(sim.ply)
	ins.sch.Configure(sim.now, sim.tab, sim.live)
	sim.instances = append(sim.instances, ins)
}
