package settings

// Agent holds the settings of rosedrift-agent.
type Agent struct {
	Common
	Name         string   `arg:"--name,env:ROSEDRIFT_NAME" required:"yes" check:"name" help:"unique name of this agent and its backend server"`
	Zone         string   `arg:"--zone,env:ROSEDRIFT_ZONE" required:"yes" check:"name" help:"availability zone of this VM"`
	Listen       string   `arg:"--listen,env:ROSEDRIFT_LISTEN" default:"127.0.0.1:7410" check:"hostport" help:"address for the backend server's announcements, health and metrics"`
	Gateways     []string `arg:"--gateways,env:ROSEDRIFT_GATEWAYS" required:"yes" check:"hostport" help:"link addresses of gateways; they list the others"`
	ClusterKey   string   `arg:"--cluster-key,env:ROSEDRIFT_CLUSTER_KEY" secret:"yes" help:"shared key of rosedrift processes on links"`
	TLSCert      string   `arg:"--tls-cert,env:ROSEDRIFT_TLS_CERT" check:"file" help:"certificate chain (PEM) of this process for links with gateways"`
	TLSKey       string   `arg:"--tls-key,env:ROSEDRIFT_TLS_KEY" check:"file" help:"private key (PEM) of this process"`
	TLSCA        string   `arg:"--tls-ca,env:ROSEDRIFT_TLS_CA" check:"file" help:"certificates (PEM) that sign agents' and gateways' certificates"`
	RecordBytes  Int      `arg:"--record-bytes,env:ROSEDRIFT_RECORD_BYTES" default:"67108864" min:"1048576" max:"17179869184" unit:"bytes" help:"memory for start records and results; results are dropped first, then starts are refused"`
	QueueLength  Int      `arg:"--queue-length,env:ROSEDRIFT_QUEUE_LENGTH" default:"2" min:"1" max:"64" unit:"tasks" help:"tasks that may wait here while all slots are busy"`
	DrainTimeout Duration `arg:"--drain-timeout,env:ROSEDRIFT_DRAIN_TIMEOUT" default:"60s" min:"1s" max:"10m" help:"longest time that a planned stop waits for running tasks"`
}

// Validate implements Validator.
func (a *Agent) Validate() []Violation {
	var violations []Violation
	if (a.TLSCert == "") != (a.TLSKey == "") || (a.TLSCert == "") != (a.TLSCA == "") {
		violations = append(violations, Violation{"--tls-cert", "ROSEDRIFT_TLS_CERT", "--tls-cert, --tls-key and --tls-ca must be set together"})
	}
	return violations
}
