package bench

import (
	"encoding/json"
	"html/template"
	"os"
	"path/filepath"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plots.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
)

var page = template.Must(template.New("report").Parse(`<!doctype html>
<meta charset="utf-8"><title>{{.Result.Scenario}} {{.Result.Profile}}</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}td{padding:0 1em}pre{overflow:auto}</style>
<h1>{{.Result.Scenario}}, {{.Result.Profile}}, policy {{.Result.Policy}}, seed {{.Result.Seed}}</h1>
{{range .Result.Broken}}<p><b>Broken: {{.}}</b></p>{{else}}<p>No promise broken.</p>{{end}}
<h2>Response / ideal by percentile</h2><img src="ratios.svg" alt="response ratio by percentile">
<h2>Starts by zone</h2><img src="starts.svg" alt="starts per second by zone">
<h2>Figures</h2><pre>{{.JSON}}</pre>
{{range .Result.Notes}}<p>{{.}}</p>{{end}}
`))

// WriteReport writes report.html and its plots into a directory, which it creates if needed.
func WriteReport(dir string, r *Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := plotRatios(filepath.Join(dir, "ratios.svg"), r); err != nil {
		return err
	}
	if err := plotStarts(filepath.Join(dir, "starts.svg"), r); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "report.html"))
	if err != nil {
		return err
	}
	if err := page.Execute(file, map[string]any{"Result": r, "JSON": string(raw)}); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func plotRatios(path string, r *Result) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "percentile", "response / ideal"
	err := plotutil.AddLines(p, "urgent", percentiles(r.urgent), "routine", percentiles(r.routine))
	if err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

func percentiles(h *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for percent := 1.0; percent < 100; percent++ {
		points = append(points, plotter.XY{X: percent, Y: quantile(h, percent)})
	}
	return append(points, plotter.XY{X: 99.9, Y: quantile(h, 99.9)})
}

func plotStarts(path string, r *Result) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "time (s)", "starts per second"
	var zones []string
	for zone := range r.timeline.starts {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	var lines []any
	for _, zone := range zones {
		lines = append(lines, zone, r.timeline.rates(zone))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

func (t timeline) rates(zone string) plotter.XYs {
	points := make(plotter.XYs, 0, len(t.starts[zone]))
	for i, count := range t.starts[zone] {
		at := float64(i) * t.interval.Seconds()
		points = append(points, plotter.XY{X: at, Y: float64(count) / t.interval.Seconds()})
	}
	return points
}
