package setup

import (
	"net"
	"strconv"

	"lovagestream/core/schema"
)

// Values of the setting "security" of links between entry instances.
const (
	SecurityNone      = "none"
	SecuritySharedKey = "shared-key"
	SecurityTLS       = "tls"
)

// maxSeeds is the maximum number of seeds.
const maxSeeds = 64

// Peers are the settings of the links between entry instances.
type Peers struct {
	address        string
	advertisedAddr string
	// security is one of the Security constants; SecurityNone is allowed on loopback
	// only.
	security    string
	keyFile     string
	certificate string
	privateKey  string
	authorities string
	seeds       []string
}

// Address returns the listen address for other entry instances, as host and port.
func (prs Peers) Address() string { return prs.address }

// AdvertisedAddr returns the address that other entry instances connect to; if empty,
// they connect to the listen address.
func (prs Peers) AdvertisedAddr() string { return prs.advertisedAddr }

// Security returns how links are secured, one of the Security constants.
func (prs Peers) Security() string { return prs.security }

// KeyFile returns the path of the file with the shared keys.
func (prs Peers) KeyFile() string { return prs.keyFile }

// Certificate returns the path of the file with this instance's certificate chain.
func (prs Peers) Certificate() string { return prs.certificate }

// PrivateKey returns the path of the file with the certificate's key.
func (prs Peers) PrivateKey() string { return prs.privateKey }

// Authorities returns the path of the file with the trusted certificate
// authorities.
func (prs Peers) Authorities() string { return prs.authorities }

// Seeds returns the addresses of entry instances to contact at the start, so that
// the instance can join while the platform is down.
func (prs Peers) Seeds() []string { return prs.seeds }

// Peers returns the settings of the links between entry instances.
func (set *Settings) Peers() Peers { return set.peers }

func (prs *Peers) fill(mp *schema.Map) {
	prs.address = readAddr(mp, "address", "127.0.0.1:0", "Where other entry instances connect.")
	prs.advertisedAddr = readOptionalAddr(mp, "advertised-address", "The address that other entry instances are told, where it is not the listening one.")
	prs.security = mp.Choice("security", "How links are secured; none is for loopback only.", SecurityNone, SecuritySharedKey, SecurityTLS)
	prs.keyFile = mp.Text("key-file", "", "File with the shared keys, one a line: the first is used, all are accepted.", prs.security == SecuritySharedKey && !mp.Describing())
	needTLS := prs.security == SecurityTLS && !mp.Describing()
	prs.certificate = mp.Text("certificate", "", "File with this instance's certificate chain in PEM; its common name is the instance's identity.", needTLS)
	prs.privateKey = mp.Text("private-key", "", "File with the certificate's key in PEM.", needTLS)
	prs.authorities = mp.Text("authorities", "", "File with the accepted authorities in PEM.", needTLS)
	prs.seeds = mp.Texts("seeds", 0, maxSeeds, "Addresses of entry instances to ask at the start.")
	for i, sed := range prs.seeds {
		if !isAddr(sed) {
			mp.Fault("seeds["+strconv.Itoa(i)+"]", strconv.Quote(sed), addrFormat)
		}
	}
	prs.checkLoopback(mp)
}

// checkLoopback reports a fault if unsecured links could be reached from other
// machines.
func (prs *Peers) checkLoopback(mp *schema.Map) {
	if prs.security != SecurityNone || mp.Describing() {
		return
	}
	for _, adr := range append([]string{prs.address, prs.advertisedAddr}, prs.seeds...) {
		host, _, err := net.SplitHostPort(adr)
		if err == nil && !net.ParseIP(host).IsLoopback() {
			mp.Fault("security", strconv.Quote(SecurityNone)+" with the address "+adr, SecuritySharedKey+" or "+SecurityTLS+", or loopback addresses only")
			return
		}
	}
}

// readOptionalAddr reads a host and port that may be missing.
func readOptionalAddr(mp *schema.Map, key, doc string) string {
	if !mp.Has(key) && !mp.Describing() {
		return mp.Text(key, "", doc, false)
	}
	return readAddr(mp, key, "", doc)
}
