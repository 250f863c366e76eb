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

// The DNS names in the certificates of links. They name roles instead of hosts, because VMs can be replaced at any time
// and their addresses are not known when certificates are issued. Only a gateway may accept links, so a dialing process
// requires GatewayName.
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
	// Authorities holds the certificate authorities that sign the certificates of all rosedrift processes and no
	// others. During a rotation it can hold an old and a new one.
	Authorities string
}

// loadedFiles is the content of the files, raw and parsed.
type loadedFiles struct {
	raw         []byte
	certificate tls.Certificate
	authorities *x509.CertPool
}

// TLS provides the configurations for links with mutual TLS. It is safe for concurrent use.
type TLS struct {
	files   TLSFiles
	log     log.Logger
	current atomic.Pointer[loadedFiles]
}

// OpenTLS loads the files. The error is a *FileError.
func OpenTLS(files TLSFiles, logger log.Logger) (*TLS, error) {
	t := &TLS{files: files, log: logger}
	if _, err := t.Reload(); err != nil {
		return nil, err
	}
	return t, nil
}

// Run reloads the files when they change, until the context ends. Files that cannot be used, for example a certificate
// that was replaced before its key, are logged once, and the loaded ones stay in use. Open links keep the certificates
// of their handshake.
func (t *TLS) Run(ctx context.Context) { reloadLoop(ctx, t.log, "certificate", t.Reload) }

// Reload reads the files and uses them if one has changed. The error is a *FileError.
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
		return false, &FileError{Path: t.files.Certificate, Text: "cannot be used with its private key", Err: err}
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(parts[2]) {
		return false, &FileError{Path: t.files.Authorities, Text: "contains no certificate"}
	}
	t.current.Store(&loadedFiles{raw: raw, certificate: certificate, authorities: authorities})
	return true, nil
}

// Server returns the configuration of a listener for links. Every handshake uses the files that are loaded at that
// time.
func (t *TLS) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := t.current.Load()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{current.certificate},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        current.authorities,
				VerifyConnection: checkRole,
				// A resumed session would skip the verification against the current authorities.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// Client returns the configuration for one dial of a link. A process must call it for every dial, so that reloaded
// files are used.
func (t *TLS) Client() *tls.Config {
	current := t.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.authorities,
		ServerName:   GatewayName,
	}
}

// checkRole accepts certificates of gateways and agents.
func checkRole(state tls.ConnectionState) error {
	if IsGateway(state) || hasDNSName(state, AgentName) {
		return nil
	}
	return errNoRole
}

// IsGateway reports whether the verified peer of a link is a gateway. A server checks it before it accepts messages
// that only gateways send.
func IsGateway(state tls.ConnectionState) bool { return hasDNSName(state, GatewayName) }

func hasDNSName(state tls.ConnectionState, name string) bool {
	return len(state.PeerCertificates) > 0 && slices.Contains(state.PeerCertificates[0].DNSNames, name)
}
