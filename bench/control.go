package main

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

const (
	// settleTime is the time between the formation of the groups and the start
	// of a sample, so that the sample excludes the cost of the start.
	settleTime = 3 * time.Second

	// samplePeriod is the duration of a sample.
	samplePeriod = 10 * time.Second
)

// defaultSize is the size of a deployment in all dimensions that a measurement
// does not vary.
var defaultSize = deploymentSize{nodes: 6, vms: 12, groupSize: 2, domains: 3, workspaces: 10}

// A dimension is one dimension of a deployment's size, with the values for which
// the cost is measured.
type dimension struct {
	name   string
	values []int
	set    func(size *deploymentSize, value int)
}

// controlDimensions are the dimensions for which the control cost is measured.
var controlDimensions = []dimension{
	{name: "nodes", values: []int{3, 6, 12, 24, 48}, set: func(size *deploymentSize, value int) { size.nodes = value }},
	{name: "runners (VMs, groups of 2)", values: []int{6, 12, 24, 48, 96}, set: func(size *deploymentSize, value int) { size.vms = value }},
	{name: "runners (VMs, one group a fabric domain)", values: []int{6, 24, 48, 96}, set: func(size *deploymentSize, value int) {
		size.vms = value
		size.groupSize = value / size.domains
	}},
	{name: "workspaces", values: []int{10, 100, 400}, set: func(size *deploymentSize, value int) { size.workspaces = value }},
}

// benchControl measures the control cost of idle nodes for each dimension.
func benchControl(ctx context.Context, table *table) error {
	for _, dimension := range controlDimensions {
		if err := benchDimension(ctx, table, dimension); err != nil {
			return errors.Annotate(err, dimension.name)
		}
	}
	return nil
}

func benchDimension(ctx context.Context, table *table, dimension dimension) error {
	var positions []float64
	var measured []rates
	for _, value := range dimension.values {
		size := defaultSize
		dimension.set(&size, value)
		sampled, err := sampleSize(ctx, table.bin, size)
		if err != nil {
			return errors.Annotatef(err, "sample at value %d", value)
		}
		positions = append(positions, float64(value))
		measured = append(measured, sampled)
		table.printLine("control, %s = %d: processor %.2f%% (highest %.2f%%), sent %.0f B/s, received %.0f B/s, memory %.1f MiB, store reads %.1f/s, writes %.1f/s",
			dimension.name, value, sampled.processor, sampled.highest, sampled.sent, sampled.received, sampled.memory, sampled.reads, sampled.writes)
	}
	table.fitRows(dimension.name, positions, measured)
	return nil
}

func sampleSize(ctx context.Context, bin string, size deploymentSize) (rates, error) {
	running, err := deploy(ctx, bin, size)
	if err != nil {
		return rates{}, errors.Trace(err)
	}
	defer running.stop()
	time.Sleep(settleTime)
	return running.sample(samplePeriod)
}

// fitRows adds a row for each cost with the line that fits it over a dimension.
func (table *table) fitRows(name string, positions []float64, measured []rates) {
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
		table.addRow(fmt.Sprintf("%s over %s", column.name, name),
			fmt.Sprintf("%.3f + %.5f each, error %.3f", line.base, line.slope, line.deviation), "slope")
	}
}
