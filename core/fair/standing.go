package fair

import "time"

// Standing is the position of one account in the division of one resource, as
// the instance that divides it tells others. Accounts that are not named are
// within their share.
type Standing struct {
	Account  string
	Resource string
	// Demand, Use and Share are in servers: seconds of work per second that the
	// account asked for lately, was admitted with, and may have.
	Demand float64
	Use    float64
	Share  float64
	// Wait is how long the account's backlog takes at its share.
	Wait time.Duration
}

// OverShare reports whether the account asks for more than its share.
func (sta Standing) OverShare() bool { return sta.Demand > sta.Share }
