package main

import (
	"fmt"
	"io"
	"os"
	"sort"
	"sync"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/measure/generator"
	"github.com/cranberryward/cranberryward/measure/replayer"
	"github.com/cranberryward/cranberryward/planner"
	"github.com/integrii/flaggy"
)

const exitUsage = 2

type options struct {
	seed       uint64
	deployment string
	plot       string
	only       string
}

func main() { os.Exit(run()) }

func run() int {
	options := options{
		seed:       1,
		deployment: "parlamigo",
	}
	parser := flaggy.NewParser("measure")
	parser.Description = "Replays seeded load traces through the placement and routing policies and prints one row for each policy."
	parser.Version = cranberryward.Version
	parser.UInt64(&options.seed, "", "seed", "Seed of the trace")
	parser.String(&options.deployment, "", "deployment", "parlamigo or brazos-flats")
	parser.String(&options.plot, "", "plot", "File for a plot of skew and weights moved, as SVG")
	parser.String(&options.only, "", "only", "placement or routing (default: both)")
	if err := parser.Parse(); err != nil || weightsFor(options.deployment).SkewValue == 0 {
		_, _ = fmt.Fprintf(os.Stderr, "--deployment: expected parlamigo or brazos-flats, found %q %v\n", options.deployment, err)
		return exitUsage
	}
	if options.only != "routing" {
		if err := measurePlacement(os.Stdout, options); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	if options.only != "placement" {
		measureRouting(os.Stdout, options)
	}
	return 0
}

func weightsFor(deployment string) planner.Weights {
	switch deployment {
	case "parlamigo":
		return planner.ParlamigoWeights()
	case "brazos-flats":
		return planner.BrazosFlatsWeights()
	}
	return planner.Weights{}
}

type placementResult struct {
	row    replayer.Row
	points []replayer.Point
}

func measurePlacement(writer io.Writer, options options) error {
	weights := weightsFor(options.deployment)
	_, _ = fmt.Fprintln(writer, "placement\tseed\tdeployment\tshape\tpolicy\tmean_skew\tp95_skew\tp99_skew\tbound\texcess\tquiet_skew\tmoved_gb\tchanges\tcaches_lost\tsteps_delayed\tquiet_acts")
	for _, shape := range generator.Shapes(options.deployment) {
		results := replayAll(shape, options.seed, weights)
		names := make([]string, 0, len(results))
		for name := range results {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			row := results[name].row
			_, _ = fmt.Fprintf(writer, "placement\t%d\t%s\t%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.2f\t%d\t%d\t%d\t%d\n", options.seed, options.deployment, shape.Name(),
				name, row.MeanSkew, row.P95Skew, row.P99Skew, row.Bound, row.Excess, row.QuietSkew, row.MovedGB, row.Changes, row.CachesLost, row.DelayedSteps, row.QuietChanges)
		}
		if options.plot != "" && shape.Name() == "target" {
			if err := plotPlacement(options.plot, names, results); err != nil {
				return err
			}
		}
	}
	return nil
}

func replayAll(shape generator.Shape, seed uint64, weights planner.Weights) map[string]placementResult {
	results := map[string]placementResult{}
	var mutex sync.Mutex
	var waitGroup sync.WaitGroup
	for name, policy := range replayer.Policies(shape, weights) {
		waitGroup.Go(func() {
			row, points := replayer.Replay(name, shape, seed, policy, weights)
			mutex.Lock()
			defer mutex.Unlock()
			results[name] = placementResult{
				row:    row,
				points: points,
			}
		})
	}
	waitGroup.Wait()
	return results
}
