package gateway_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/agent"
	"rosedrift.example/rosedrift/internal/auth"
	"rosedrift.example/rosedrift/internal/gateway"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
)

// authority is a certificate authority for rosedrift processes.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	return &authority{t, certificate, key}
}

// open returns the TLS files of a process whose certificate for a role is signed by this authority, and which trusts
// another authority.
func (a *authority) open(role string, trusted *authority) *auth.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{role},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	require.NoError(a.t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(a.t, err)
	dir := a.t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	opened, err := auth.OpenTLS(auth.TLSFiles{
		Certificate: write("cert.pem", "CERTIFICATE", raw), PrivateKey: write("key.pem", "PRIVATE KEY", private),
		Authorities: write("ca.pem", "CERTIFICATE", trusted.certificate.Raw),
	}, log.NewNopLogger())
	require.NoError(a.t, err)
	return opened
}

// logLines collects log output that a test reads while it is written.
type logLines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// runAgent runs an agent with one announced backend server until the end of the test.
func (s *testCluster) runAgent(name, gateway string, secured *auth.TLS, lines *logLines) {
	a, err := agent.NewAgent(agent.ProcessOptions{
		MachineOptions: agent.MachineOptions{
			Self: structs.AgentRef{ID: structs.AgentID(name), Incarnation: 1}, Zone: "catania", QueueLength: 2,
			RecordBytes: 1 << 20,
		},
		Listen: "127.0.0.1:0", Gateways: []string{gateway}, ClientTLS: secured.Client,
		Logger: telemetry.NewLogger(lines, "debug", "logfmt"),
	})
	require.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	s.t.Cleanup(func() {
		stop()
		<-done
	})
	body := `{"service":"lending","address":"127.0.0.1:1","slots":8,"connections":64,"name":"` + name + `"}`
	response, err := s.http.Post("http://"+a.Address()+"/v1/announce", "application/json", strings.NewReader(body))
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	require.Less(s.t, response.StatusCode, http.StatusBadRequest)
}

// TestAgentOverMutualTLS guards against an agent that cannot link to a gateway with the certificates of their roles,
// against links with a wrong certificate, and against refusals that are not logged.
func TestAgentOverMutualTLS(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	s := newTestCluster(t)
	secured := own.open(auth.GatewayName, own)
	gatewayLines := &logLines{}
	g := s.gateway("g1", func(o *gateway.Options) {
		o.LinkTLS, o.ClientTLS, o.IsGateway = secured.Server(), secured.Client, auth.IsGateway
		o.Logger = telemetry.NewLogger(gatewayLines, "info", "logfmt")
	})
	g.awaitConfig(t)
	await := func(lines *logLines, pattern string) {
		expression := regexp.MustCompile(pattern)
		require.Eventually(t, func() bool { return expression.MatchString(lines.String()) }, time.Minute,
			10*time.Millisecond, pattern)
	}
	s.runAgent("right", g.link, own.open(auth.AgentName, own), &logLines{})
	await(gatewayLines, `msg="agent linked" agent=right/1`)

	strange, untrusting := &logLines{}, &logLines{}
	s.runAgent("strange", g.link, foreign.open(auth.AgentName, own), strange)
	await(strange, `level=warn .*msg="gateway not reached" address=`+g.link+` err=.*tls: `)
	await(gatewayLines, `level=warn .*msg="link refused in the TLS handshake" peer=\S+ err=.*certificate`)
	s.runAgent("untrusting", g.link, own.open(auth.AgentName, foreign), untrusting)
	await(untrusting, `level=warn .*msg="gateway not reached" address=`+g.link+` err=.*x509: `)
	require.NotRegexp(t, `agent=(strange|untrusting)`, gatewayLines.String())
}
