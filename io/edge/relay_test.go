package edge

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagestream/io/conns"
	"lovagestream/io/gauge"
	"lovagestream/io/mesh"
)

// Requests of other instances that are refused must not loosen the bounds on those that follow.
func TestRefusedRelaysKeepTheBounds(t *testing.T) {
	ctl, _ := newControl(t)
	rly := newRelay(ctl, nil, (*conns.Pool)(nil), nil, ctl.clk, gauge.New())
	for _, held := range []struct{ num, bytes int64 }{{maxRelayed, 1000}, {0, maxRelayedBytes}} {
		rly.inFlight.Store(held.num)
		rly.bytes.Store(held.bytes)
		for range 3 {
			require.Error(t, rly.Relay(context.Background(), mesh.RelayCall{Body: make([]byte, 100)}, nil))
		}
		require.Equal(t, held.num, rly.inFlight.Load())
		require.Equal(t, held.bytes, rly.bytes.Load())
	}
}
