package load

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of the chart.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 24 * vg.Millimeter / 2
)

// WritePlot writes a bar chart of the latencies to a file. The file's extension
// determines the format.
func WritePlot(path string, r *Report) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s at %.0f %% of capacity, %d engines", r.Shape, r.LoadShare*100, r.Engines)
	p.Y.Label.Text = "seconds"
	p.Legend.Top, p.Legend.Left = true, true
	p.NominalX("latency p50", "latency p95", "latency p99", "first token p95")
	bars := []struct {
		name    string
		summary *Summary
		colour  color.Color
		offset  vg.Length
	}{
		{"policy", r.Policy, color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}, -barWidth / 2},
		{"baseline", r.Baseline, color.RGBA{R: 0xb0, G: 0xb0, B: 0xb0, A: 0xff}, barWidth / 2},
	}
	for _, b := range bars {
		if b.summary == nil {
			continue
		}
		chart, err := plotter.NewBarChart(plotValues(b.summary), barWidth)
		if err != nil {
			return fmt.Errorf("draw chart: %w", err)
		}
		chart.Color, chart.Offset, chart.LineStyle.Width = b.colour, b.offset, 0
		p.Add(chart)
		p.Legend.Add(b.name, chart)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write chart: %w", err)
	}
	return nil
}

func plotValues(s *Summary) plotter.Values {
	return plotter.Values{s.ProgramLatency.P50, s.ProgramLatency.P95, s.ProgramLatency.P99, s.FirstToken.P95}
}
