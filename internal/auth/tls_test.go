package auth

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	return authority{certificate, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})}
}

// issue writes the files of a process with a certificate for a role.
func (a authority) issue(t *testing.T, files TLSFiles, role string) {
	t.Helper()
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{role},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	writeFile(t, files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}))
	writeFile(t, files.PrivateKey, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}))
	writeFile(t, files.Authorities, a.pem)
}

func open(t *testing.T, a authority, role string) (*TLS, TLSFiles) {
	t.Helper()
	dir := t.TempDir()
	files := TLSFiles{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
	a.issue(t, files, role)
	opened, err := OpenTLS(files, log.NewNopLogger())
	require.NoError(t, err)
	return opened, files
}

// handshake returns the server's and the client's error. It uses a socket, because both sides may write at once and
// a pipe has no buffer.
func handshake(t *testing.T, server, client *tls.Config) (accepted, dialed error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	result := make(chan error, 1)
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			result <- err
			return
		}
		result <- tls.Server(raw, server).Handshake()
		_ = raw.Close()
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	dialed = tls.Client(raw, client).Handshake()
	if dialed != nil {
		_ = raw.Close()
	}
	accepted = <-result
	_ = raw.Close()
	return accepted, dialed
}

// TestMutualTLS guards against links with processes of another authority, without a role, or with an agent that
// answers in place of a gateway.
func TestMutualTLS(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	gateway, _ := open(t, own, GatewayName)
	agent, _ := open(t, own, AgentName)
	stranger, _ := open(t, foreign, AgentName)
	other, _ := open(t, own, "printer.example")

	accepted, dialed := handshake(t, gateway.Server(), agent.Client())
	require.NoError(t, accepted)
	require.NoError(t, dialed)
	for _, client := range []*tls.Config{stranger.Client(), other.Client(), {InsecureSkipVerify: true}} {
		accepted, _ = handshake(t, gateway.Server(), client)
		require.Error(t, accepted)
	}
	_, dialed = handshake(t, agent.Server(), agent.Client())
	require.Error(t, dialed)
	_, dialed = handshake(t, gateway.Server(), stranger.Client())
	require.Error(t, dialed)
}

// TestCertificatesReload guards against links that go on with an old certificate or authority after a rotation, and
// against a half-done rotation that stops new links.
func TestCertificatesReload(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	gateway, files := open(t, before, GatewayName)
	listener := gateway.Server()
	agentBefore, _ := open(t, before, AgentName)
	agentAfter, _ := open(t, after, AgentName)

	writeFile(t, files.PrivateKey, []byte("half"))
	_, err := gateway.Reload()
	var fault *FileError
	require.ErrorAs(t, err, &fault)
	accepted, dialed := handshake(t, listener, agentBefore.Client())
	require.NoError(t, accepted)
	require.NoError(t, dialed)

	after.issue(t, files, GatewayName)
	changed, err := gateway.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	accepted, dialed = handshake(t, listener, agentAfter.Client())
	require.NoError(t, accepted)
	require.NoError(t, dialed)
	_, dialed = handshake(t, listener, agentBefore.Client())
	require.Error(t, dialed)
}
