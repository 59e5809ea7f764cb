// Package origin opens TCP connections from the source IP address in the
// settings of an entry instance. A machine with several addresses in a network
// that admits only some of them needs it, and the tests use it to distinguish
// availability zones.
package origin

import (
	"context"
	"net"
	"time"
)

// SourceAddr is the source IP address of outgoing connections. With its zero
// value, the operating system chooses the address.
type SourceAddr struct {
	ip net.IP
}

// New returns the source address for an IP address in text form. With an empty
// or invalid text, the operating system chooses the address.
func New(ip string) SourceAddr {
	return SourceAddr{ip: net.ParseIP(ip)}
}

// DialFunc returns a function that opens TCP connections from the source address
// with a timeout.
func (src SourceAddr) DialFunc(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dia := &net.Dialer{Timeout: timeout}
	if src.ip != nil {
		dia.LocalAddr = &net.TCPAddr{IP: src.ip}
	}
	return dia.DialContext
}
