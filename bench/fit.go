package main

import "math"

// A lineFit is a least-squares line through measured points.
type lineFit struct {
	base  float64
	slope float64

	// deviation is the root mean square of the points' vertical distances from
	// the line.
	deviation float64
}

// fitLine fits a line to the values at the positions. It needs at least two
// different positions.
func fitLine(positions, values []float64) lineFit {
	count := float64(len(positions))
	var sumX, sumY, sumXX, sumXY float64
	for index, position := range positions {
		sumX += position
		sumY += values[index]
		sumXX += position * position
		sumXY += position * values[index]
	}
	slope := (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	line := lineFit{base: (sumY - slope*sumX) / count, slope: slope}
	var squares float64
	for index, position := range positions {
		distance := values[index] - line.at(position)
		squares += distance * distance
	}
	line.deviation = math.Sqrt(squares / count)
	return line
}

// at returns the line's value at a position.
func (line lineFit) at(position float64) float64 { return line.base + line.slope*position }
