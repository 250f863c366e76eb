package bench

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// wastedSeries are the ends of the names of the gateways' counters of starts that a server sent back.
var wastedSeries = []string{"tasks_refused", "tasks_withdrawn"}

// wastedStarts sums the counters of a gateway since its start. An unreachable gateway counts 0, so that the figure is
// a lower bound in scenarios that stop gateways.
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

// seriesValue returns the value of a line of the text exposition if it is one of wastedSeries.
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
