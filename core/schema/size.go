package schema

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Size reads a number of bytes with its unit: B, KiB, MiB or GiB.
func (mp *Map) Size(key string, def, lower, upper int64, doc string) int64 {
	fie := Field{kind: "size", defaultValue: FormatSize(def), allowed: fmt.Sprintf("a size with its unit from %s to %s", FormatSize(lower), FormatSize(upper)), doc: doc}
	return readBounded(mp, key, fie, def, lower, upper, parseSize)
}

var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// FormatSize formats a number of bytes in the largest unit that divides it.
func FormatSize(num int64) string {
	for _, uni := range sizeUnits {
		if num >= uni.bytes && num%uni.bytes == 0 {
			return fmt.Sprintf("%d%s", num/uni.bytes, uni.name)
		}
	}
	return fmt.Sprintf("%dB", num)
}

func parseSize(val string) (int64, error) {
	for _, uni := range sizeUnits {
		num, found := strings.CutSuffix(val, uni.name)
		if !found {
			continue
		}
		cnt, err := strconv.ParseInt(strings.TrimSpace(num), 10, 64)
		if err == nil && cnt > math.MaxInt64/uni.bytes {
			err = strconv.ErrRange
		}
		return cnt * uni.bytes, err
	}
	return 0, strconv.ErrSyntax
}
