package setup

import (
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"lovagestream/core/schema"
)

// Operator is the access control of the operators' listener.
type Operator struct {
	tokenFile   string
	tokenEnv    string
	certificate string
	privateKey  string
	// open disables authentication; allowed on loopback only.
	open bool
}

// Certificate returns the path of the file with the listener's certificate chain.
// If empty, the listener serves plain HTTP, which is allowed on loopback only.
func (opr Operator) Certificate() string { return opr.certificate }

// PrivateKey returns the path of the file with the certificate's key.
func (opr Operator) PrivateKey() string { return opr.privateKey }

// Operator returns the access control of the operators' listener.
func (set *Settings) Operator() Operator { return set.operator }

func (opr *Operator) fill(mp *schema.Map, address string) {
	opr.tokenFile = mp.Text("token-file", "", "File with the operators' bearer token.", false)
	opr.tokenEnv = mp.Text("token-environment", "", "Environment variable with the same, where there is no file.", false)
	opr.open = mp.Bool("open", false, "Whether anyone who can reach the listener may use it; on loopback only.")
	opr.certificate = mp.Text("certificate", "", "File with the listener's certificate chain in PEM; needed but on loopback. It is read anew for each connection.", false)
	opr.privateKey = mp.Text("private-key", "", "File with the certificate's key in PEM.", opr.certificate != "" && !mp.Describing())
	if mp.Describing() {
		return
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host).IsLoopback() {
		return
	}
	if opr.open {
		mp.Fault("open", "true with the address "+strconv.Quote(address), "false, or a loopback address")
	}
	if opr.certificate == "" {
		mp.Fault("certificate", "nothing with the address "+strconv.Quote(address), "a file with a certificate, or a loopback address")
	}
}

// Token reads the bearer token from the file or environment variable. It returns ""
// only if the settings say that the listener is open, and then no token is needed.
// It returns an error if the file can't be read or there is no token.
func (opr Operator) Token() (string, error) {
	if opr.open {
		return "", nil
	}
	raw := []byte(os.Getenv(opr.tokenEnv))
	if opr.tokenFile != "" {
		var err error
		if raw, err = os.ReadFile(opr.tokenFile); err != nil {
			return "", errors.Wrap(err, "operators.token-file")
		}
	}
	tok := strings.TrimSpace(string(raw))
	if tok == "" {
		return "", errors.New("operators: want a token in token-file or token-environment, or open: true on loopback")
	}
	return tok, nil
}
