package telemetry

import (
	"bufio"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// ReportInterval is how often tally reports its values. Exposed values are at most this old.
const ReportInterval = time.Second

// Metrics is a tally root scope whose values are exposed in the Prometheus text format.
type Metrics struct {
	Scope    tally.Scope
	closer   io.Closer
	reporter *reporter
}

// NewMetrics returns a Metrics. The names of all metrics begin with the prefix, and all have the tags. Close ends the
// reporting goroutine.
func NewMetrics(prefix string, tags map[string]string) *Metrics {
	r := &reporter{series: map[string]*series{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Tags:                   tags,
		CachedReporter:         r,
		Separator:              "_",
		OmitCardinalityMetrics: true,
	}, ReportInterval)
	return &Metrics{Scope: scope, closer: closer, reporter: r}
}

// Close ends the reporting goroutine.
func (m *Metrics) Close() error { return m.closer.Close() }

// ServeHTTP implements http.Handler. It writes all series in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	out := bufio.NewWriter(w)
	m.reporter.write(out)
	_ = out.Flush()
}

// series is a metric with one combination of tags. Counters use count, gauges bits, timers both (number and sum of the
// durations), and histograms buckets.
type series struct {
	name  string
	tags  string
	kind  string
	count atomic.Int64
	bits  atomic.Uint64 // a float64
	// buckets is guarded by reporter.mu.
	buckets []*bucket
}

// bucket is a bucket of a histogram with its upper bound. count does not include the lower buckets.
type bucket struct {
	boundText string
	bound     float64
	count     atomic.Int64
}

// reporter implements tally.CachedStatsReporter. It keeps the latest values for ServeHTTP.
type reporter struct {
	mu     sync.Mutex
	series map[string]*series
}

func (r *reporter) seriesFor(kind, name string, tags map[string]string) *series {
	text := formatTags(tags)
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.series[name+text]
	if !ok {
		s = &series{name: name, tags: text, kind: kind}
		r.series[name+text] = s
	}
	return s
}

// Capabilities implements tally.BaseStatsReporter.
func (r *reporter) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *reporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *reporter) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter. It does nothing, since values are kept and not sent.
func (r *reporter) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return counter{r.seriesFor("counter", name, tags)}
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return gauge{r.seriesFor("gauge", name, tags)}
}

// AllocateTimer implements tally.CachedStatsReporter. A timer is exposed as a summary with its count and its sum in
// seconds.
func (r *reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return timer{r.seriesFor("summary", name+"_seconds", tags)}
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r *reporter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return histogram{r, r.seriesFor("histogram", name, tags)}
}

type counter struct{ s *series }

// ReportCount implements tally.CachedCount. The value is the increase since the last report.
func (c counter) ReportCount(value int64) { c.s.count.Add(value) }

type gauge struct{ s *series }

// ReportGauge implements tally.CachedGauge.
func (g gauge) ReportGauge(value float64) { g.s.bits.Store(math.Float64bits(value)) }

type timer struct{ s *series }

// ReportTimer implements tally.CachedTimer.
func (t timer) ReportTimer(interval time.Duration) {
	t.s.count.Add(1)
	t.s.addSum(interval.Seconds())
}

func (s *series) addSum(delta float64) {
	for {
		old := s.bits.Load()
		if s.bits.CompareAndSwap(old, math.Float64bits(math.Float64frombits(old)+delta)) {
			return
		}
	}
}

type histogram struct {
	r *reporter
	s *series
}

// ValueBucket implements tally.CachedHistogram.
func (h histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket { return h.bucket(upper) }

// DurationBucket implements tally.CachedHistogram. Bounds are exposed in seconds.
func (h histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return h.bucket(math.MaxFloat64)
	}
	return h.bucket(upper.Seconds())
}

func (h histogram) bucket(upper float64) *bucket {
	h.r.mu.Lock()
	defer h.r.mu.Unlock()
	b := &bucket{boundText: strconv.FormatFloat(upper, 'g', -1, 64), bound: upper}
	if upper == math.MaxFloat64 {
		b.boundText = "+Inf"
	}
	h.s.buckets = append(h.s.buckets, b)
	return b
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b *bucket) ReportSamples(value int64) { b.count.Add(value) }

func (r *reporter) write(out *bufio.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*series, 0, len(r.series))
	for _, s := range r.series {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *series) int { return strings.Compare(a.name+a.tags, b.name+b.tags) })
	last := ""
	for _, s := range all {
		if s.name != last {
			writeStrings(out, "# TYPE ", s.name, " ", s.kind, "\n")
		}
		last = s.name
		s.write(out)
	}
}

func (s *series) write(out *bufio.Writer) {
	number := strconv.FormatFloat(math.Float64frombits(s.bits.Load()), 'g', -1, 64)
	count := strconv.FormatInt(s.count.Load(), 10)
	switch s.kind {
	case "counter":
		writeStrings(out, s.name, inBraces(s.tags), " ", count, "\n")
	case "gauge":
		writeStrings(out, s.name, inBraces(s.tags), " ", number, "\n")
	case "summary":
		writeStrings(out, s.name, "_count", inBraces(s.tags), " ", count, "\n")
		writeStrings(out, s.name, "_sum", inBraces(s.tags), " ", number, "\n")
	default:
		s.writeBuckets(out)
	}
}

// writeBuckets writes the cumulative counts of a histogram. There is no _sum, since tally does not report it.
func (s *series) writeBuckets(out *bufio.Writer) {
	slices.SortFunc(s.buckets, func(a, b *bucket) int {
		switch {
		case a.bound < b.bound:
			return -1
		case a.bound > b.bound:
			return 1
		}
		return 0
	})
	total := int64(0)
	for _, b := range s.buckets {
		total += b.count.Load()
		le := `le="` + b.boundText + `"`
		if s.tags != "" {
			le = s.tags + "," + le
		}
		writeStrings(out, s.name, "_bucket", inBraces(le), " ", strconv.FormatInt(total, 10), "\n")
	}
	writeStrings(out, s.name, "_count", inBraces(s.tags), " ", strconv.FormatInt(total, 10), "\n")
}

func writeStrings(out *bufio.Writer, parts ...string) {
	for _, part := range parts {
		_, _ = out.WriteString(part)
	}
}

func inBraces(tags string) string {
	if tags == "" {
		return ""
	}
	return "{" + tags + "}"
}

// formatTags returns the tags as labels, sorted by name and without braces.
func formatTags(tags map[string]string) string {
	parts := make([]string, 0, len(tags))
	for name, value := range tags {
		parts = append(parts, name+"="+strconv.Quote(value))
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}
