package settings

// Platform holds the settings of rosedrift-entry and rosedrift-roomagent, the programs that run on the platform. Their
// addresses and limits come from the platform's settings file.
type Platform struct {
	Common
	MetricsPort Int `arg:"--metrics-port,env:ROSEDRIFT_METRICS_PORT" default:"9180" min:"0" max:"65535" unit:"port" help:"port that serves the metrics; 0 serves none"`
}
