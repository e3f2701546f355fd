// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// sampleInterval is the time between two samples of the plot.
const sampleInterval = 250 * time.Millisecond

// sampleLoop records the samples of the plot.
func (r *run) sampleLoop(ctx context.Context) {
	for sleep(ctx, sampleInterval) {
		r.record.addSample(time.Since(r.begin), r.site.emulator.Grid.WorstTail())
	}
}

// Dimensions of the plot, in SVG units: a second is plotSecond wide.
const (
	plotSecond = 40
	plotHeight = 120
	plotRow    = 12 // height of a fault's row
	plotBar    = 8  // height of the bar in a row
	plotMargin = 20
	maxTail    = 3 // tail latency at the top of the plot, as a multiple of the target
)

// renderPlot returns an SVG of the jobs per second and the worst tail latency over time, with the faults below.
func (r *run) renderPlot() string {
	var b strings.Builder
	width := int(r.config.Length.Seconds()*plotSecond) + 2*plotMargin
	height := plotMargin + plotHeight + plotMargin + plotRow*len(r.record.faults) + plotMargin
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="monospace" font-size="9">`+"\n", width, height)
	b.WriteString(r.svgLine("green", func(a, z sample) float64 { return r.rateFraction(z.accepted - a.accepted) }))
	b.WriteString(r.svgLine("orange", func(a, z sample) float64 { return r.rateFraction(z.refused - a.refused) }))
	b.WriteString(r.svgLine("red", func(a, z sample) float64 { return r.rateFraction(z.unknown - a.unknown) }))
	b.WriteString(r.svgLine("blue", func(_, z sample) float64 { return z.tail / maxTail }))
	fmt.Fprintf(&b, `<text x="%d" y="12">jobs accepted (green), refused (orange), without answer (red) of %g a second; worst tail (blue), top: %d times its target</text>`+"\n",
		plotMargin, r.config.Rate, maxTail)
	for i, f := range r.record.faults {
		b.WriteString(f.svgRow(plotMargin + plotHeight + plotMargin + i*plotRow))
	}
	b.WriteString("</svg>\n")
	return b.String()
}

// svgRow draws a fault as a bar at height y, from its beginning to its end.
func (f injectedFault) svgRow(y int) string {
	return fmt.Sprintf(`<rect x="%d" y="%d" width="%d" height="%d" fill="gray"/><text x="%d" y="%d">%s</text>`+"\n",
		plotX(f.from), y, max(1, plotX(f.to)-plotX(f.from)), plotBar, plotX(f.from), y+plotBar, f.fault.Kind)
}

// rateFraction converts a count per sample interval to a height in the plot.
func (r *run) rateFraction(count int) float64 {
	return float64(count) / (r.config.Rate * sampleInterval.Seconds()) / 2 // the configured rate is at half height
}

// svgLine draws a value computed from each two successive samples; 1 is the top of the plot.
func (r *run) svgLine(colour string, value func(before, now sample) float64) string {
	var points []string
	var before sample
	for _, now := range r.record.samples {
		y := plotMargin + plotHeight*(1-min(1, value(before, now)))
		points = append(points, fmt.Sprintf("%d,%.0f", plotX(now.at), y))
		before = now
	}
	return fmt.Sprintf(`<polyline points="%s" fill="none" stroke="%s"/>`+"\n", strings.Join(points, " "), colour)
}

// plotX returns the horizontal position of a time in the plot.
func plotX(at time.Duration) int { return plotMargin + int(at.Seconds()*plotSecond) }
