package resume

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Starts that ended must be remembered for a while, and never more than the bound.
func TestEndsAreBounded(t *testing.T) {
	var end Ends
	now := time.Unix(1000, 0)
	require.Nil(t, end.Starts())
	require.True(t, end.Add(now, "a"))
	require.False(t, end.Add(now, "a"))
	require.Equal(t, map[string]bool{"a": true}, end.Starts())
	for num := range 2 * maxEnds {
		end.Add(now, fmt.Sprint(num))
	}
	require.Len(t, end.Starts(), maxEnds)
	require.False(t, end.Sweep(now.Add(endTime)))
	require.True(t, end.Sweep(now.Add(endTime+time.Second)))
	require.Nil(t, end.Starts())
}
