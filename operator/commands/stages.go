package commands

import (
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"snipeshift.example/operator/explain"
)

// runStages prints, and draws, how long requests take in each stage.
func runStages(c *cli.Command, lines []explain.Line) error {
	profiles := explain.ProfileStages(lines)
	if len(profiles) == 0 {
		return tell(nil, "no line of these logs ends a request")
	}
	printStages(c.Root().Writer, profiles)
	if !c.IsSet(flagPlot) {
		return nil
	}
	name := c.String(flagPlot)
	if err := plotStages(name, profiles); err != nil {
		return tell(err, "%s cannot be drawn: %v", name, err)
	}
	return nil
}

func printStages(w io.Writer, profiles []explain.Profile) {
	fmt.Fprintf(w, "%-14s %-8s %-14s %8s %8s %8s %8s\n", "KIND", "SECONDS", "STAGE", "REQUESTS", "P50(ms)", "P90(ms)", "P99(ms)")
	for _, p := range profiles {
		fmt.Fprintf(w, "%-14s %-8s %-14s %8d %8d %8d %8d\n", p.Kind, p.Load, p.Stage, p.Requests, p.P50, p.P90, p.P99)
	}
}

// Sizes of a drawing.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = vg.Length(12)
)

// paceColours are those of the bars of calm, mixed and flooded seconds.
var paceColours = []color.Color{color.Gray{Y: 200}, color.Gray{Y: 130}, color.Gray{Y: 40}}

// plotStages draws the 90th percentile of each stage, a chart for each kind.
func plotStages(name string, profiles []explain.Profile) error {
	var kinds []string
	byKind := map[string][]explain.Profile{}
	for _, p := range profiles {
		if byKind[p.Kind] == nil {
			kinds = append(kinds, p.Kind)
		}
		byKind[p.Kind] = append(byKind[p.Kind], p)
	}
	charts := make([][]*plot.Plot, len(kinds))
	for i, k := range kinds {
		p, err := chart(k, byKind[k])
		if err != nil {
			return err
		}
		charts[i] = []*plot.Plot{p}
	}
	format := strings.TrimPrefix(filepath.Ext(name), ".")
	canvas, err := draw.NewFormattedCanvas(plotWidth, plotHeight*vg.Length(len(kinds)), format)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: len(kinds), Cols: 1, PadY: vg.Centimeter / 2}
	for i, row := range plot.Align(charts, tiles, draw.New(canvas)) {
		charts[i][0].Draw(row[0])
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(f); err != nil {
		_ = f.Close() // the first error says what went wrong
		return err
	}
	return f.Close()
}

// chart draws one kind.
func chart(kind string, profiles []explain.Profile) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = kind
	p.Y.Label.Text = "P90, ms"
	stages := explain.Stages()
	for pace, colour := range paceColours {
		values := make(plotter.Values, len(stages))
		for _, x := range profiles {
			if int(x.Load) == pace {
				values[x.Stage] = float64(x.P90)
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, err
		}
		bars.Color = colour
		bars.Offset = barWidth * vg.Length(pace-1)
		p.Add(bars)
		p.Legend.Add(explain.LoadClass(pace).String(), bars)
	}
	p.Legend.Top = true
	names := make([]string, len(stages))
	for i, s := range stages {
		names[i] = s.String()
	}
	p.NominalX(names...)
	return p, nil
}
