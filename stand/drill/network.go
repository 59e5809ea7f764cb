package drill

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// network counts the bytes between instances. It can drop those between a zone and
// the others without resetting connections.
type network struct {
	mu sync.Mutex
	// cut has the isolated zones by the prefix of their IP addresses.
	cut   map[string]bool
	bytes atomic.Int64
}

func zonePrefix(ip string) string { return ip[:strings.LastIndexByte(ip, '.')+1] }

func (ntw *network) setCut(zone string, cut bool) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.cut[zone] = cut
}

// isolated reports whether two zones are partitioned from each other.
func (ntw *network) isolated(one, two string) bool {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	return one != two && (ntw.cut[one] || ntw.cut[two])
}

// listener accepts links to one instance and wraps them in countedConn.
type listener struct {
	net.Listener
	net  *network
	zone string
}

// Accept accepts and wraps the next connection.
func (lis *listener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(con.RemoteAddr().String())
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: con, net: lis.net, here: zonePrefix(lis.zone), there: zonePrefix(host)}, nil
}

// countedConn is a connection that counts its bytes, and drops them while its zones
// are partitioned.
type countedConn struct {
	net.Conn
	net         *network
	here, there string
}

// Read drops incoming bytes while the zones are partitioned.
func (con *countedConn) Read(buf []byte) (int, error) {
	for {
		num, err := con.Conn.Read(buf)
		if err != nil || !con.net.isolated(con.here, con.there) {
			con.net.bytes.Add(int64(num))
			return num, err
		}
	}
}

// Write drops outgoing bytes while the zones are partitioned.
func (con *countedConn) Write(buf []byte) (int, error) {
	if con.net.isolated(con.here, con.there) {
		return len(buf), nil
	}
	con.net.bytes.Add(int64(len(buf)))
	return con.Conn.Write(buf)
}
