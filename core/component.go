package core

import "time"

// component is one part of the control state. New adds each to Control's list;
// a component reaches the others through the Control that it was made for.
type component interface {
	// step receives every event, in the order of Control's list. now never runs
	// backwards.
	step(now time.Time, ev Event) []Decision
	// fill adds the component's state to a view before it is published.
	fill(vie *View)
}

// resumed is delivered to the components before the first event after a pause
// of the process.
type resumed struct {
	gap time.Duration
}

func (resumed) event() {}

var _ Event = resumed{}

// Resumed reports to the driver that the process was paused.
type Resumed struct {
	gap time.Duration
}

// Gap returns the time between the steps before and after the pause.
func (dec Resumed) Gap() time.Duration { return dec.gap }

func (Resumed) decision() {}

var _ Decision = Resumed{}
