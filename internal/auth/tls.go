package auth

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"slices"
	"sync/atomic"

	"github.com/go-kit/log"
)

// The DNS names in the certificates of links. Names of roles instead of hosts, because VMs are replaced at any time
// and addresses are not known when certificates are made. Only a gateway may answer on a link address.
const (
	GatewayName = "gateway.rosedrift"
	AgentName   = "agent.rosedrift"
)

var errNoRole = errors.New("auth: the peer's certificate is neither for " + GatewayName + " nor for " + AgentName)

// TLSFiles names the PEM files of mutual TLS.
type TLSFiles struct {
	// Certificate and PrivateKey belong to this process.
	Certificate string
	PrivateKey  string
	// Authorities sign the certificates of all rosedrift processes and of nobody else. It may hold an old and a new
	// one during a rotation.
	Authorities string
}

type material struct {
	raw         []byte
	certificate tls.Certificate
	authorities *x509.CertPool
}

// TLS gives the configurations of links with mutual TLS. It is safe for concurrent use.
type TLS struct {
	files   TLSFiles
	log     log.Logger
	current atomic.Pointer[material]
}

// OpenTLS loads the files. The error is a *FileError.
func OpenTLS(files TLSFiles, logger log.Logger) (*TLS, error) {
	t := &TLS{files: files, log: logger}
	if _, err := t.Reload(); err != nil {
		return nil, err
	}
	return t, nil
}

// Run reloads the files after changes until the context ends. Faulty files, also a certificate that is replaced before
// its key, are logged once and the old ones stay in force. Open links keep the certificates of their handshake.
func (t *TLS) Run(ctx context.Context) { reloadLoop(ctx, t.log, "certificate", t.Reload) }

// Reload reads the files and puts them in force if one has changed. The error is a *FileError.
func (t *TLS) Reload() (changed bool, err error) {
	var parts [3][]byte
	for i, path := range []string{t.files.Certificate, t.files.PrivateKey, t.files.Authorities} {
		if parts[i], err = os.ReadFile(path); err != nil {
			return false, &FileError{Path: path, Text: "cannot be read", Err: err}
		}
	}
	raw := bytes.Join(parts[:], []byte{0})
	if old := t.current.Load(); old != nil && bytes.Equal(old.raw, raw) {
		return false, nil
	}
	certificate, err := tls.X509KeyPair(parts[0], parts[1])
	if err != nil {
		return false, &FileError{Path: t.files.Certificate, Text: "does not fit its key", Err: err}
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(parts[2]) {
		return false, &FileError{Path: t.files.Authorities, Text: "holds no certificate"}
	}
	t.current.Store(&material{raw: raw, certificate: certificate, authorities: authorities})
	return true, nil
}

// Server returns the configuration of a listener for links. Every handshake uses the files in force.
func (t *TLS) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := t.current.Load()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{now.certificate},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        now.authorities,
				VerifyConnection: checkRole,
				// A resumed session would skip the verification against the authorities in force.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// Client returns the configuration for one dial of a link. A process calls it for every dial, so that new files are
// used.
func (t *TLS) Client() *tls.Config {
	now := t.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{now.certificate},
		RootCAs:      now.authorities,
		ServerName:   GatewayName,
	}
}

func checkRole(state tls.ConnectionState) error {
	if IsGateway(state) || hasName(state, AgentName) {
		return nil
	}
	return errNoRole
}

// IsGateway reports whether the verified peer of a link is a gateway. A server checks it before it accepts messages
// that only gateways send.
func IsGateway(state tls.ConnectionState) bool { return hasName(state, GatewayName) }

func hasName(state tls.ConnectionState, name string) bool {
	return len(state.PeerCertificates) > 0 && slices.Contains(state.PeerCertificates[0].DNSNames, name)
}
