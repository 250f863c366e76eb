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

// ReportInterval is how often tally hands its values over; the exposition is at most this old.
const ReportInterval = time.Second

// Metrics is a tally root scope whose values are readable as text.
type Metrics struct {
	Scope    tally.Scope
	closer   io.Closer
	reporter *reporter
}

// NewMetrics returns a root scope with the prefix. Close ends its reporting goroutine.
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

// Close ends the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// ServeHTTP writes all series in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	out := bufio.NewWriter(w)
	m.reporter.write(out)
	_ = out.Flush()
}

// series is one exposed number. Counters hold whole numbers, the others float bits.
type series struct {
	name  string
	tags  string
	kind  string
	count atomic.Int64
	bits  atomic.Uint64
	// buckets is set for histograms and guarded by the reporter's mutex for additions.
	buckets []*bucket
}

type bucket struct {
	upper string
	order float64
	count atomic.Int64
}

// reporter implements tally.CachedStatsReporter and keeps the latest values.
type reporter struct {
	mu     sync.Mutex
	series map[string]*series
}

func (r *reporter) get(kind, name string, tags map[string]string) *series {
	text := tagText(tags)
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

// Flush implements tally.BaseStatsReporter; values are kept, not sent.
func (r *reporter) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return counter{r.get("counter", name, tags)}
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return gauge{r.get("gauge", name, tags)}
}

// AllocateTimer implements tally.CachedStatsReporter. Timers are exposed as count and sum in seconds.
func (r *reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return timer{r.get("summary", name+"_seconds", tags)}
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r *reporter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return histogram{r, r.get("histogram", name, tags)}
}

type counter struct{ s *series }

// ReportCount implements tally.CachedCount; value is the change since the last report.
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

// DurationBucket implements tally.CachedHistogram; bounds are exposed in seconds.
func (h histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return h.bucket(math.MaxFloat64)
	}
	return h.bucket(upper.Seconds())
}

func (h histogram) bucket(upper float64) *bucket {
	h.r.mu.Lock()
	defer h.r.mu.Unlock()
	b := &bucket{upper: strconv.FormatFloat(upper, 'g', -1, 64), order: upper}
	if upper == math.MaxFloat64 {
		b.upper = "+Inf"
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
			writeWords(out, "# TYPE ", s.name, " ", s.kind, "\n")
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
		writeWords(out, s.name, braced(s.tags), " ", count, "\n")
	case "gauge":
		writeWords(out, s.name, braced(s.tags), " ", number, "\n")
	case "summary":
		writeWords(out, s.name, "_count", braced(s.tags), " ", count, "\n")
		writeWords(out, s.name, "_sum", braced(s.tags), " ", number, "\n")
	default:
		s.writeBuckets(out)
	}
}

// writeBuckets writes cumulative counts. Tally does not report the sum of a histogram.
func (s *series) writeBuckets(out *bufio.Writer) {
	slices.SortFunc(s.buckets, func(a, b *bucket) int {
		switch {
		case a.order < b.order:
			return -1
		case a.order > b.order:
			return 1
		}
		return 0
	})
	total := int64(0)
	for _, b := range s.buckets {
		total += b.count.Load()
		le := `le="` + b.upper + `"`
		if s.tags != "" {
			le = s.tags + "," + le
		}
		writeWords(out, s.name, "_bucket", braced(le), " ", strconv.FormatInt(total, 10), "\n")
	}
	writeWords(out, s.name, "_count", braced(s.tags), " ", strconv.FormatInt(total, 10), "\n")
}

func writeWords(out *bufio.Writer, words ...string) {
	for _, word := range words {
		_, _ = out.WriteString(word)
	}
}

func braced(tags string) string {
	if tags == "" {
		return ""
	}
	return "{" + tags + "}"
}

func tagText(tags map[string]string) string {
	parts := make([]string, 0, len(tags))
	for name, value := range tags {
		parts = append(parts, name+"="+strconv.Quote(value))
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}
