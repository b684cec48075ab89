package railburnreport

import "image/color"

// windowColors are the bar colors of the plotted windows, from the shortest to the longest.
var windowColors = []color.Color{
	color.RGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x7e, B: 0x22, A: 0xff},
	color.RGBA{R: 0x29, G: 0x80, B: 0xb9, A: 0xff},
}
