package call

// The constants of the 64-bit FNV-1a hash and of the final mixing step.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	mixFactor = 0xff51afd7ed558ccd
)

// HashFraction hashes names to a number in [0,1). All entry instances get the
// same number for the same names.
func HashFraction(names ...string) float64 {
	var sum uint64 = fnvOffset
	for _, name := range names {
		for idx := range len(name) {
			sum = (sum ^ uint64(name[idx])) * fnvPrime
		}
		// The extra multiplication separates names, so that moving a character
		// from one name to the next changes the hash.
		sum *= fnvPrime
	}
	sum ^= sum >> 33
	sum *= mixFactor
	sum ^= sum >> 33
	return float64(sum>>11) / (1 << 53)
}
