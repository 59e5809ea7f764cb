package setup

import (
	"net"
	"strconv"

	"lovagestream/core/schema"
)

// SourceAddress returns the source IP address of outgoing connections; if empty,
// the operating system chooses one.
func (set *Settings) SourceAddress() string { return set.sourceAddr }

func readSourceAddr(mp *schema.Map) string {
	val := mp.Text("source-address", "", "IP number from which outgoing connections start; empty lets the system choose.", false)
	if val != "" && net.ParseIP(val) == nil {
		mp.Fault("source-address", strconv.Quote(val), "an IP number, such as 10.0.0.7")
	}
	return val
}
