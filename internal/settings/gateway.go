package settings

import (
	"net"
)

// Gateway holds the settings of rosedrift-gateway.
type Gateway struct {
	Common
	Name         string   `arg:"--name,env:ROSEDRIFT_NAME" required:"yes" check:"name" help:"unique name of this gateway"`
	Zone         string   `arg:"--zone,env:ROSEDRIFT_ZONE" required:"yes" check:"name" help:"availability zone of this VM"`
	Listen       string   `arg:"--listen,env:ROSEDRIFT_LISTEN" default:"127.0.0.1:7400" check:"hostport" help:"address of the caller and admin API"`
	LinkListen   string   `arg:"--link-listen,env:ROSEDRIFT_LINK_LISTEN" default:"127.0.0.1:7401" check:"hostport" help:"address for agents and other gateways"`
	Advertise    string   `arg:"--advertise,env:ROSEDRIFT_ADVERTISE" check:"hostport" help:"address under which agents and other gateways reach link-listen; default: the listening address"`
	Store        string   `arg:"--store,env:ROSEDRIFT_STORE" required:"yes" check:"url" help:"URL of the platform's store"`
	TLSCert      string   `arg:"--tls-cert,env:ROSEDRIFT_TLS_CERT" check:"file" help:"certificate chain (PEM) of this process for links with agents and gateways"`
	TLSKey       string   `arg:"--tls-key,env:ROSEDRIFT_TLS_KEY" check:"file" help:"private key (PEM) of this process"`
	TLSCA        string   `arg:"--tls-ca,env:ROSEDRIFT_TLS_CA" check:"file" help:"certificates (PEM) that sign agents' and gateways' certificates"`
	KeysFile     string   `arg:"--keys-file,env:ROSEDRIFT_KEYS_FILE" check:"file" help:"file with the keys of teams and operators"`
	ClusterKey   string   `arg:"--cluster-key,env:ROSEDRIFT_CLUSTER_KEY" secret:"yes" help:"shared key of rosedrift processes on links"`
	Policy       string   `arg:"--policy,env:ROSEDRIFT_POLICY" default:"rosedrift" check:"word:rosedrift|random|fifo" help:"dispatch policy; random and fifo are baselines for measurements"`
	DrainTimeout Duration `arg:"--drain-timeout,env:ROSEDRIFT_DRAIN_TIMEOUT" default:"60s" min:"1s" max:"10m" help:"longest time that a planned stop waits for callers' requests"`
	MaxBodyBytes Int      `arg:"--max-body-bytes,env:ROSEDRIFT_MAX_BODY_BYTES" default:"67108864" min:"1024" max:"1073741824" unit:"bytes" help:"largest request body, whatever the configuration says"`
	HeldBytes    Int      `arg:"--held-bytes,env:ROSEDRIFT_HELD_BYTES" default:"536870912" min:"1048576" max:"68719476736" unit:"bytes" help:"memory for bodies and answers of waiting callers; more is refused"`
}

// Validate implements Validator.
func (g *Gateway) Validate() []Violation {
	var violations []Violation
	if (g.TLSCert == "") != (g.TLSKey == "") || (g.TLSCert == "") != (g.TLSCA == "") {
		violations = append(violations, Violation{"--tls-cert", "ROSEDRIFT_TLS_CERT", "--tls-cert, --tls-key and --tls-ca must be set together"})
	}
	if g.KeysFile == "" && !IsLoopback(g.Listen) {
		violations = append(violations, Violation{"--keys-file", "ROSEDRIFT_KEYS_FILE", "is required unless listen is a loopback address"})
	}
	return violations
}

// IsLoopback reports whether the host of a host:port address is a loopback address, reachable only from the same VM.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	if host == "localhost" {
		return true
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
