package stock

// Revision orders what a store reports: first by the store's era, then by its
// change count. A new era starts when the store is restored from a copy that is
// some seconds old: the count falls back then, and counts are issued again.
// Instances exchange revisions as plain numbers, which equal the count in era
// 0.
type Revision int64

const (
	// countBits is the number of low bits that hold the count.
	countBits = 40
	// MaxEra is the highest era.
	MaxEra = 1<<22 - 1
)

// NewRevision returns the revision of a count in an era from 0 to MaxEra.
func NewRevision(era, count int64) Revision {
	return Revision(era<<countBits | count&(1<<countBits-1))
}

// Era returns the store's era.
func (rev Revision) Era() int64 { return int64(rev) >> countBits }

// Count returns the store's change count within its era.
func (rev Revision) Count() int64 { return int64(rev) & (1<<countBits - 1) }
