package main

import (
	"fmt"
	"io"
	"sort"

	"github.com/cranberryward/cranberryward/measure/simulator"
)

const (
	routingSeconds        = 90
	ordinaryRate          = 120
	capacityRate          = 160
	overloadFactor        = 3
	brazosFlatsRateFactor = 0.8
)

// measureRouting prints a row for each routing policy at the ordinary rate without admission, and at capacity and three times capacity with admission.
func measureRouting(writer io.Writer, options options) {
	rate := float64(ordinaryRate)
	if options.deployment == "brazos-flats" {
		rate *= brazosFlatsRateFactor
	}
	_, _ = fmt.Fprintln(writer, "routing\tseed\tdeployment\tload\tpolicy\toffered_per_s\thit_share\tfirst_p50_ms\tfirst_p95_ms\tfirst_p99_ms\tgoodput_per_s\tfairness")
	policies := simulator.Policies()
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	sort.Strings(names)
	loads := []struct {
		name          string
		rate          float64
		withAdmission bool
	}{
		{
			name: "ordinary",
			rate: rate,
		},
		{
			name:          "capacity",
			rate:          capacityRate,
			withAdmission: true,
		},
		{
			name:          "three-times",
			rate:          overloadFactor * capacityRate,
			withAdmission: true,
		},
	}
	for _, load := range loads {
		for _, name := range names {
			row := simulator.Replay(name, policies[name], options.seed, load.rate, routingSeconds, load.withAdmission)
			_, _ = fmt.Fprintf(writer, "routing\t%d\t%s\t%s\t%s\t%.0f\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\n", options.seed, options.deployment, load.name,
				name, row.Offered, row.HitShare, row.P50, row.P95, row.P99, row.Goodput, row.Fairness)
		}
	}
}
