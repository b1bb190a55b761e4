package command

import (
	"fmt"
	"os"
	"slices"
	"time"

	"fescuehall/experiment"
)

func init() {
	register("experiment", "Measure decisions against baselines, in this process and on loopback.", &measure{})
}

type measure struct {
	Names []string `arg:"" optional:"" help:"Experiments to run, all when none is given."`
	List  bool     `help:"List the experiments."`
	Out   string   `help:"File to add the Markdown table to." type:"path"`
}

// Run runs the experiments one after the other.
func (measure *measure) Run() error {
	ctx, cancel := interrupted()
	defer cancel()
	for _, chosen := range experiment.All() {
		if measure.List {
			fmt.Printf("%-10s %s\n", chosen.Name, chosen.Help)
			continue
		}
		if len(measure.Names) > 0 && !slices.Contains(measure.Names, chosen.Name) {
			continue
		}
		began := time.Now()
		rows, err := chosen.Run(ctx)
		if err != nil {
			return fmt.Errorf("experiment %s: %w", chosen.Name, err)
		}
		if err := measure.write(chosen, rows); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%s took %v\n", chosen.Name, time.Since(began).Round(time.Second))
	}
	return nil
}

func (measure *measure) write(chosen experiment.Experiment, rows []experiment.Row) error {
	text := fmt.Sprintf("\n## %s\n\n%s Command: `fescuehall experiment %s`, seed 7.\n\n%s", chosen.Name, chosen.Help, chosen.Name, experiment.Table(rows))
	fmt.Print(text)
	if measure.Out == "" {
		return nil
	}
	file, err := os.OpenFile(measure.Out, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = file.WriteString(text)
	return err
}
