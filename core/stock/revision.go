package stock

// Revision orders what a store tells: by the store's era, then by its count of
// changes. An era ends when the store comes back from a copy some seconds old; its
// count goes back then, and numbers are given out again. As a plain number it is
// what instances tell each other, and the same as the count in the first era.
type Revision int64

const (
	// countBits are the low bits of a revision, those of the count.
	countBits = 40
	// MaxEra bounds eras.
	MaxEra = 1<<22 - 1
)

// NewRevision returns the revision of a count in an era from 0 to MaxEra.
func NewRevision(era, count int64) Revision {
	return Revision(era<<countBits | count&(1<<countBits-1))
}

// Era returns the store's era.
func (rev Revision) Era() int64 { return int64(rev) >> countBits }

// Count returns the store's count of changes in its era.
func (rev Revision) Count() int64 { return int64(rev) & (1<<countBits - 1) }
