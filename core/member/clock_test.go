package member

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAllAgreeOnOneThatStartedWithItsClockBehind:
//
// Instance a was stopped and started again after its machine's clock had been
// set back. It took itself for the eldest and formed the calls to the stage
// servers; b, which it had linked to, thought so too. Then somebody who hadn't
// met the new a yet named the members to b, a among them with its start before,
// which is the later one by the clocks. b took that for news, held c for the
// eldest from then on, and handed its requests to c; a went on forming calls of
// its own until its next start.
//
// Seen: a started at 03:44:25 with its clock an hour behind; the others moved to
// it at 03:44:27, back to c at 03:44:36, and it stayed so with nothing disturbed.
func TestAllAgreeOnOneThatStartedWithItsClockBehind(t *testing.T) {
	set := NewSet(Member{Address: "b", Zone: "z", Born: 1020, Share: 400})
	set.SetHeartbeat(Heartbeat{Ready: true, Fresh: -1})
	set.Linked(start, Member{Address: "c", Zone: "z", Born: 1015, Share: 400})
	set.Heard(start, "c", Heartbeat{Ready: true})
	before := Member{Address: "a", Zone: "z", Born: 1030, Share: 400}
	set.Linked(start, before)
	set.Heard(start, "a", Heartbeat{Ready: true})
	require.Equal(t, "c", set.Coordinator(start))
	set.Unlinked(start, "a")
	set.Linked(start, Member{Address: "a", Zone: "z", Born: 500, Share: 400})
	set.Heard(start, "a", Heartbeat{Ready: true})
	require.Equal(t, "a", set.Coordinator(start))

	set.Learn(start, []Member{before})

	require.Equal(t, "a", set.Coordinator(start), "a says of itself that it started at 500, over an open link")
	require.Contains(t, set.List(), Member{Address: "a", Zone: "z", Born: 500, Share: 400}, "what is named to others")
}
