package bench

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// wastedSeries holds the name suffixes of the gateways' counters of starts that were refused or withdrawn.
var wastedSeries = []string{"tasks_refused", "tasks_withdrawn"}

// wastedStarts returns the number of refused and withdrawn starts that a gateway has counted since its start. An
// unreachable gateway counts 0, so the figure is a lower bound in scenarios that stop gateways.
func wastedStarts(client *http.Client, addr string) float64 {
	response, err := client.Get("http://" + addr + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	total := 0.0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		total += seriesValue(lines.Text())
	}
	return total
}

// seriesValue returns the value of a line of the Prometheus text format if it belongs to wastedSeries, and 0 otherwise.
func seriesValue(line string) float64 {
	name, _, _ := strings.Cut(line, "{")
	for _, series := range wastedSeries {
		if !strings.HasSuffix(name, series) {
			continue
		}
		fields := strings.Fields(line)
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			return 0
		}
		return value
	}
	return 0
}
