// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package soak

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// sampleInterval is the time between two points of the plots.
const sampleInterval = 250 * time.Millisecond

// sampleLoop notes what the plots show.
func (r *run) sampleLoop(ctx context.Context) {
	for sleep(ctx, sampleInterval) {
		r.record.addSample(time.Since(r.begin), r.site.emulator.Grid.WorstTail())
	}
}

// Sizes of the plot, in its own units: a second is plotSecond wide.
const (
	plotSecond = 40
	plotHeight = 120
	plotRow    = 12 // of one fault
	plotBar    = 8  // within it
	plotMargin = 20
	maxTail    = 3 // times the target, the top of the plot
)

// renderPlot draws jobs a second and the worst tail over time, with the faults below.
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
	for i, h := range r.record.faults {
		b.WriteString(h.svgRow(plotMargin + plotHeight + plotMargin + i*plotRow))
	}
	b.WriteString("</svg>\n")
	return b.String()
}

// svgRow draws a fault at a height, for as long as it lasted.
func (h injectedFault) svgRow(y int) string {
	return fmt.Sprintf(`<rect x="%d" y="%d" width="%d" height="%d" fill="gray"/><text x="%d" y="%d">%s</text>`+"\n",
		plotX(h.from), y, max(1, plotX(h.to)-plotX(h.from)), plotBar, plotX(h.from), y+plotBar, h.fault.Kind)
}

// rateFraction is a count within a sample's time as a part of the rate.
func (r *run) rateFraction(count int) float64 {
	return float64(count) / (r.config.Rate * sampleInterval.Seconds()) / 2 // the rate itself is half way up
}

// svgLine draws a figure that follows from each two samples; 1 is the top.
func (r *run) svgLine(colour string, figure func(before, now sample) float64) string {
	var points []string
	var before sample
	for _, now := range r.record.samples {
		y := plotMargin + plotHeight*(1-min(1, figure(before, now)))
		points = append(points, fmt.Sprintf("%d,%.0f", plotX(now.at), y))
		before = now
	}
	return fmt.Sprintf(`<polyline points="%s" fill="none" stroke="%s"/>`+"\n", strings.Join(points, " "), colour)
}

// plotX is where a time stands in the plot.
func plotX(at time.Duration) int { return plotMargin + int(at.Seconds()*plotSecond) }
