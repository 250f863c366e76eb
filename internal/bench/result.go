package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosedrift.example/rosedrift/internal/structs"
)

// Result is the outcome of a run, printed as one JSON object.
type Result struct {
	Scenario string `json:"scenario"`
	Profile  string `json:"profile"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`

	// TasksStarted counts the starts at the backend server stand-ins. The fields after it count broken promises, except
	// ConfigInForceMaxS: the longest time from the acceptance of a command until it was in force everywhere.
	TasksStarted      int     `json:"tasks_started"`
	StartedTwice      int     `json:"started_twice"`
	PartialAnswers    int     `json:"partial_answers"`
	WrongAnswers      int     `json:"wrong_answers"`
	FalseNotRun       int     `json:"false_not_run"`
	LateZoneStarts    int     `json:"late_zone_starts"`
	LateLeavingStarts int     `json:"late_leaving_starts"`
	CutRequests       int     `json:"cut_requests"`
	ConfigReverts     int     `json:"config_reverts"`
	SlotsExceeded     int     `json:"slots_exceeded"`
	ConfigInForceMaxS float64 `json:"config_in_force_max_s"`

	JobsOffered    int `json:"jobs_offered"`
	JobsComplete   int `json:"jobs_complete"`
	JobsFailed     int `json:"jobs_failed"`
	JobsMayHaveRun int `json:"jobs_may_have_run"`
	JobsRefused    int `json:"jobs_refused"`
	JobsCancelled  int `json:"jobs_cancelled"`
	// Codes counts, by the code of their problem, the jobs that were refused or may have run.
	Codes map[string]int `json:"codes"`
	// JobsUnanswered counts jobs whose callers got no answer before they gave up.
	JobsUnanswered int `json:"jobs_unanswered"`
	Resubmissions  int `json:"resubmissions"`

	// Percentiles of the ratio of a job's response time to its Ideal.
	UrgentRatioP50  float64 `json:"urgent_ratio_p50"`
	UrgentRatioP99  float64 `json:"urgent_ratio_p99"`
	RoutineRatioP50 float64 `json:"routine_ratio_p50"`
	RoutineRatioP99 float64 `json:"routine_ratio_p99"`

	MessagesPerTask float64 `json:"messages_per_task"`
	// WastedMessagesPerTask counts refused and withdrawn starts, as the gateways' metrics report them.
	WastedMessagesPerTask float64 `json:"wasted_messages_per_task"`
	// WorkSustainedRatio is the result of workSustained.
	WorkSustainedRatio float64 `json:"work_sustained_ratio"`
	// GoodputRatio is the work done for jobs that completed, relative to the capacity.
	GoodputRatio      float64 `json:"goodput_ratio"`
	StartsPerS        float64 `json:"starts_per_s"`
	StoreWritesPerS   float64 `json:"store_writes_per_s"`
	StoreReadsPerS    float64 `json:"store_reads_per_s"`
	AgentCPUPercent   float64 `json:"agent_cpu_percent"`
	GatewayCPUPercent float64 `json:"gateway_cpu_percent"`
	AgentRSSMB        float64 `json:"agent_rss_mb"`
	GatewayRSSMB      float64 `json:"gateway_rss_mb"`
	// Processor time per started task, in microseconds, summed over the processes of a role. The bench process runs the
	// callers, the relays and the backend server stand-ins.
	AgentCPUPerTaskUS     float64 `json:"agent_cpu_per_task_us"`
	GatewayCPUPerTaskUS   float64 `json:"gateway_cpu_per_task_us"`
	BenchCPUPerTaskUS     float64 `json:"bench_cpu_per_task_us"`
	AgentControlBytesPerS float64 `json:"agent_control_bytes_per_s"`

	// Broken describes the broken promises. The program exits with a non-zero code if there is one.
	Broken []string `json:"broken"`
	// Notes lists what the run did not measure or what limits its figures.
	Notes []string `json:"notes"`

	urgent, routine *hdrhistogram.Histogram
	timeline        timeline
}

func (r *Result) countCode(code structs.Code) {
	if r.Codes == nil {
		r.Codes = map[string]int{}
	}
	r.Codes[string(code)]++
}

// ratioScale is the resolution of the ratio histograms: they count in thousandths.
const ratioScale = 1000

// maxRatio is the largest value of the histograms, a ratio of 100 000. Larger ratios are recorded as maxRatio.
const maxRatio = 100_000 * ratioScale

func newRatioHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio, 3) }

func recordRatio(h *hdrhistogram.Histogram, response, ideal time.Duration) {
	ratio := int64(float64(response) / float64(ideal) * ratioScale)
	_ = h.RecordValue(min(max(ratio, 1), maxRatio))
}

func quantile(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / ratioScale
}

// timeline counts the starts per interval for each zone.
type timeline struct {
	interval time.Duration
	starts   map[string][]int
}
