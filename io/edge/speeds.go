package edge

import (
	"time"

	"lovagestream/core/speed"
	"lovagestream/io/mesh"
)

const (
	// speedsPeriod is how often the coordinator sends what it learnt of the engines'
	// speeds to its possible successors.
	speedsPeriod = 2 * time.Second
	// maxSpeedsAge is for how long it is of use to them: engines' lasting speeds
	// change with their starts, which the records name.
	maxSpeedsAge = time.Minute
)

// speeds are the records of the engines' speeds that a coordinator sent.
type speeds struct {
	records    map[string][]speed.Record
	receivedAt time.Time
	sentAt     time.Time
}

// shareSpeeds sends the engines' speeds to the possible successors of this
// coordinator. Nothing is sent while no speeds are known to differ.
func (ctl *Control) shareSpeeds(now time.Time) {
	if ctl.coordinator != ctl.set.AdvertisedAddr || now.Sub(ctl.speeds.sentAt) < speedsPeriod {
		return
	}
	ctl.speeds.sentAt = now
	records := ctl.sched.SpeedRecords()
	if len(records) == 0 {
		return
	}
	for _, adr := range ctl.mem.Successors(now) {
		ctl.lnk.Send(adr, mesh.Speeds{Records: records})
	}
}

func (ctl *Control) handleSpeeds(now time.Time, msg mesh.Speeds) {
	ctl.speeds.records, ctl.speeds.receivedAt = msg.Records, now
}

// adoptSpeeds lets the scheduler begin with the speeds that the coordinator before
// this one had learnt.
func (ctl *Control) adoptSpeeds(now time.Time) {
	if now.Sub(ctl.speeds.receivedAt) < maxSpeedsAge {
		ctl.sched.MergeSpeeds(ctl.speeds.records)
	}
	ctl.speeds.records = nil
}
