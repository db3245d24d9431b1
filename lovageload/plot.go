package lovageload

import (
	"bufio"
	"encoding/xml"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Point is a point of a Series.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a named line of a Plot.
type Series struct {
	Name   string
	Points []Point
}

// Scale is the scale of an axis.
type Scale string

// Scales of an axis. ScalePercentile spaces 90, 99 and 99.9 equally and draws 100 at the place of 99.999.
const (
	ScaleLinear     Scale = "linear"
	ScaleLog        Scale = "log"
	ScalePercentile Scale = "nines"
)

// Plot is a line plot.
type Plot struct {
	Title, XLabel, YLabel string
	XScale, YScale        Scale
	Series                []Series
}

const (
	plotWidth, plotHeight                            = 800, 480
	marginLeft, marginRight, marginTop, marginBottom = 70, 20, 40, 55
)

// lineColours is the palette of Okabe and Ito, which is safe for the common forms of colour blindness.
var lineColours = []string{"#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#56B4E9", "#000000"}

// transform returns v on a scale on which equal differences are equal distances in the image.
func (sc Scale) transform(v float64) float64 {
	switch sc {
	case ScaleLog:
		return math.Log10(max(v, 1e-9))
	case ScalePercentile:
		return -math.Log10(1 - min(max(v, 0), 99.999)/100)
	case ScaleLinear:
	}
	return v
}

// axis maps values to pixels of the image.
type axis struct {
	scale                Scale
	min, max             float64 // range of the values after scale.transform
	startPixel, endPixel float64 // pixels of min and max
	tickValues           []float64
}

func newAxis(scale Scale, values []float64, startPixel, endPixel float64) axis {
	ax := axis{scale: scale, min: math.Inf(1), max: math.Inf(-1), startPixel: startPixel, endPixel: endPixel}
	for _, v := range values {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			continue
		}
		ax.min, ax.max = min(ax.min, scale.transform(v)), max(ax.max, scale.transform(v))
	}
	if ax.min > ax.max { // no values
		ax.min, ax.max = 0, 1
	}
	if ax.max-ax.min < 1e-9 {
		ax.max = ax.min + 1
	}
	ax.tickValues = ax.computeTicks()
	return ax
}

func (ax axis) pixel(v float64) float64 {
	return ax.startPixel + (ax.scale.transform(v)-ax.min)/(ax.max-ax.min)*(ax.endPixel-ax.startPixel)
}

func (ax axis) computeTicks() []float64 {
	var out []float64
	add := func(v float64) {
		if position := ax.scale.transform(v); position >= ax.min-1e-9 && position <= ax.max+1e-9 {
			out = append(out, v)
		}
	}
	switch ax.scale {
	case ScalePercentile:
		for _, v := range []float64{0, 50, 90, 99, 99.9, 99.99} {
			add(v)
		}
	case ScaleLog:
		for e := math.Floor(ax.min); e <= ax.max; e++ {
			for _, m := range []float64{1, 1.5, 2, 3, 5, 7} {
				if m == math.Trunc(m) && m != 3 && m != 7 || ax.max-ax.min < 1 {
					add(m * math.Pow(10, e))
				}
			}
		}
	case ScaleLinear:
		step := tickStep((ax.max - ax.min) / 5)
		for i := math.Ceil(ax.min / step); i*step <= ax.max+1e-9; i++ {
			add(i * step)
		}
	}
	return out
}

// tickStep returns the smallest step of the form 1, 2 or 5 times a power of ten that is at least minStep.
func tickStep(minStep float64) float64 {
	power := math.Pow(10, math.Floor(math.Log10(minStep)))
	for _, m := range []float64{1, 2, 5} {
		if m*power >= minStep-1e-12 {
			return m * power
		}
	}
	return 10 * power
}

// WriteSVG writes the plot as an SVG image.
func (pl Plot) WriteSVG(w io.Writer) error {
	var xs, ys []float64
	for _, se := range pl.Series {
		for _, po := range se.Points {
			xs, ys = append(xs, po.X), append(ys, po.Y)
		}
	}
	xa := newAxis(pl.XScale, xs, marginLeft, plotWidth-marginRight)
	ya := newAxis(pl.YScale, ys, plotHeight-marginBottom, marginTop)
	bw := bufio.NewWriter(w)
	writeLine := func(format string, args ...any) { _, _ = fmt.Fprintf(bw, format+"\n", args...) }
	writeLine(`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="12">`, plotWidth, plotHeight)
	writeLine(`<rect width="%d" height="%d" fill="white"/>`, plotWidth, plotHeight)
	writeLine(`<text x="%d" y="22" font-size="15" text-anchor="middle">%s</text>`, plotWidth/2, escapeXML(pl.Title))
	pl.writeAxes(writeLine, xa, ya)
	for i, se := range pl.Series {
		colour := lineColours[i%len(lineColours)]
		var points strings.Builder
		for _, po := range se.Points {
			if !math.IsNaN(po.Y) && !math.IsInf(po.Y, 0) {
				fmt.Fprintf(&points, "%.1f,%.1f ", xa.pixel(po.X), ya.pixel(po.Y))
			}
		}
		writeLine(`<polyline fill="none" stroke="%s" stroke-width="2" points="%s"/>`, colour, strings.TrimSpace(points.String()))
		y := marginTop + 16 + 18*i
		writeLine(`<rect x="%d" y="%d" width="14" height="4" fill="%s"/>`, marginLeft+12, y-6, colour)
		writeLine(`<text x="%d" y="%d">%s</text>`, marginLeft+32, y, escapeXML(se.Name))
	}
	writeLine(`</svg>`)
	return errors.Wrap(bw.Flush(), "write the plot")
}

func (pl Plot) writeAxes(writeLine func(string, ...any), xa, ya axis) {
	for _, v := range xa.tickValues {
		x := xa.pixel(v)
		writeLine(`<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#ddd"/>`, x, marginTop, x, plotHeight-marginBottom)
		writeLine(`<text x="%.1f" y="%d" text-anchor="middle">%s</text>`, x, plotHeight-marginBottom+16, formatTick(v))
	}
	for _, v := range ya.tickValues {
		y := ya.pixel(v)
		writeLine(`<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/>`, marginLeft, y, plotWidth-marginRight, y)
		writeLine(`<text x="%d" y="%.1f" text-anchor="end">%s</text>`, marginLeft-6, y+4, formatTick(v))
	}
	writeLine(`<rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="black"/>`, marginLeft, marginTop,
		plotWidth-marginLeft-marginRight, plotHeight-marginTop-marginBottom)
	writeLine(`<text x="%d" y="%d" text-anchor="middle">%s</text>`, plotWidth/2, plotHeight-14, escapeXML(pl.XLabel))
	writeLine(`<text x="18" y="%d" text-anchor="middle" transform="rotate(-90 18 %d)">%s</text>`, plotHeight/2, plotHeight/2,
		escapeXML(pl.YLabel))
}

func formatTick(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

func escapeXML(s string) string {
	var sb strings.Builder
	_ = xml.EscapeText(&sb, []byte(s)) // a strings.Builder never fails
	return sb.String()
}
