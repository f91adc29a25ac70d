package main

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

const (
	// settle is the time between the forming of the groups and a sample.
	settle = 3 * time.Second

	// samplePeriod is the length of a sample.
	samplePeriod = 10 * time.Second
)

// today is the size from which each series starts.
var today = scale{nodes: 6, vms: 12, groupSize: 2, domains: 3, workspaces: 10}

// A series varies one dimension of the size.
type series struct {
	name   string
	values []int
	set    func(target *scale, value int)
}

// controlSeries are the dimensions that the control cost is measured over.
var controlSeries = []series{
	{name: "nodes", values: []int{3, 6, 12, 24, 48}, set: func(target *scale, value int) { target.nodes = value }},
	{name: "runners (VMs, groups of 2)", values: []int{6, 12, 24, 48, 96}, set: func(target *scale, value int) { target.vms = value }},
	{name: "runners (VMs, one group a fabric domain)", values: []int{6, 24, 48, 96}, set: func(target *scale, value int) {
		target.vms = value
		target.groupSize = value / target.domains
	}},
	{name: "workspaces", values: []int{10, 100, 400}, set: func(target *scale, value int) { target.workspaces = value }},
}

// benchControl measures the control cost of idle nodes over each dimension.
func benchControl(ctx context.Context, out *report) error {
	for _, dimension := range controlSeries {
		if err := benchSeries(ctx, out, dimension); err != nil {
			return errors.Annotate(err, dimension.name)
		}
	}
	return nil
}

func benchSeries(ctx context.Context, out *report, dimension series) error {
	var positions []float64
	var measured []rates
	for _, value := range dimension.values {
		size := today
		dimension.set(&size, value)
		sampled, err := sampleSize(ctx, out.bin, size)
		if err != nil {
			return errors.Annotatef(err, "%d", value)
		}
		positions = append(positions, float64(value))
		measured = append(measured, sampled)
		out.line("control, %s = %d: processor %.2f%% (highest %.2f%%), sent %.0f B/s, received %.0f B/s, memory %.1f MiB, store reads %.1f/s, writes %.1f/s",
			dimension.name, value, sampled.processor, sampled.highest, sampled.sent, sampled.received, sampled.memory, sampled.reads, sampled.writes)
	}
	out.fits(dimension.name, positions, measured)
	return nil
}

func sampleSize(ctx context.Context, bin string, size scale) (rates, error) {
	running, err := deploy(ctx, bin, size)
	if err != nil {
		return rates{}, errors.Trace(err)
	}
	defer running.stop()
	time.Sleep(settle)
	return running.sample(samplePeriod)
}

// fits prints a line for each cost over one dimension.
func (out *report) fits(name string, positions []float64, measured []rates) {
	columns := []struct {
		name  string
		value func(rates rates) float64
	}{
		{"processor %", func(rates rates) float64 { return rates.processor }},
		{"highest processor %", func(rates rates) float64 { return rates.highest }},
		{"sent B/s", func(rates rates) float64 { return rates.sent }},
		{"received B/s", func(rates rates) float64 { return rates.received }},
		{"memory MiB", func(rates rates) float64 { return rates.memory }},
		{"store reads/s", func(rates rates) float64 { return rates.reads }},
		{"store writes/s", func(rates rates) float64 { return rates.writes }},
	}
	for _, column := range columns {
		values := make([]float64, 0, len(measured))
		for _, rates := range measured {
			values = append(values, column.value(rates))
		}
		line := fitLine(positions, values)
		out.row(fmt.Sprintf("%s over %s", column.name, name),
			fmt.Sprintf("%.3f + %.5f each, error %.3f", line.base, line.slope, line.deviation), "slope")
	}
}
