package command

import (
	"fmt"
	"os"
	"slices"
	"time"

	"fescuehall/experiment"
)

func init() {
	register("experiment", "Measure design decisions against baselines, in one process and on loopback.", &experimentCommand{})
}

type experimentCommand struct {
	Names []string `arg:"" optional:"" help:"Experiments to run; all of them when none is given."`
	List  bool     `help:"List the experiments."`
	Out   string   `help:"File to append the Markdown tables to." type:"path"`
}

// Run runs the experiments one after another.
func (experimentCommand *experimentCommand) Run() error {
	ctx := signalContext()
	for _, candidate := range experiment.All() {
		if experimentCommand.List {
			fmt.Printf("%-10s %s\n", candidate.Name, candidate.Help)
			continue
		}
		if len(experimentCommand.Names) > 0 && !slices.Contains(experimentCommand.Names, candidate.Name) {
			continue
		}
		start := time.Now()
		rows, err := candidate.Run(ctx)
		if err != nil {
			return fmt.Errorf("experiment %s: %w", candidate.Name, err)
		}
		if err := experimentCommand.write(candidate, rows); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%s took %v\n", candidate.Name, time.Since(start).Round(time.Second))
	}
	return nil
}

func (experimentCommand *experimentCommand) write(selected experiment.Experiment, rows []experiment.Row) error {
	text := fmt.Sprintf("\n## %s\n\n%s Command: `fescuehall experiment %s`, seed 7.\n\n%s", selected.Name, selected.Help, selected.Name, experiment.Table(rows))
	fmt.Print(text)
	if experimentCommand.Out == "" {
		return nil
	}
	file, err := os.OpenFile(experimentCommand.Out, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = file.WriteString(text)
	return err
}
