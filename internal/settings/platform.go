package settings

// Platform holds the settings of rosedrift-entry and rosedrift-roomagent, the programs that run on the platform. Their
// addresses and limits come from the platform's settings file.
type Platform struct {
	Common
	MetricsPort Int `arg:"--metrics-port,env:ROSEDRIFT_METRICS_PORT" default:"9180" min:"0" max:"65535" unit:"port" help:"port that serves the metrics; 0 serves none"`
	// EarlyRefusal is a percentage. Above 500, a delay of a few ms would refuse jobs.
	EarlyRefusal Int `arg:"--early-refusal,env:ROSEDRIFT_EARLY_REFUSAL" default:"0" min:"0" max:"500" unit:"percent" help:"gateways: by how much the observed delays count when jobs are refused early under contention; 0 refuses none early"`
}
