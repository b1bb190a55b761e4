package command

import (
	"os"
	"time"

	"fescuehall/capacity"
)

func init() {
	register("capacity", "Measure how costs grow with size, or compute the capacity page from a file of measurements.", &capacityCommand{})
}

type capacityCommand struct {
	Data    string `default:"docs/capacity.json" help:"File of measurements."`
	Page    string `default:"docs/CAPACITY.md" help:"Page to write."`
	Measure bool   `help:"Measure again and replace the file; takes several minutes."`
	Only    string `help:"Comma-separated names of the slopes to measure; the file keeps the others."`
}

// Run takes new measurements when Measure is set, and writes the page.
func (capacityCommand *capacityCommand) Run() error {
	if capacityCommand.Measure {
		data, err := capacity.Measure(time.Now(), capacityCommand.Only)
		if err != nil {
			return err
		}
		if previous, err := capacity.Read(capacityCommand.Data); err == nil && capacityCommand.Only != "" {
			data = previous.With(data)
		}
		if err := data.Write(capacityCommand.Data); err != nil {
			return err
		}
	}
	data, err := capacity.Read(capacityCommand.Data)
	if err != nil {
		return err
	}
	page, err := capacity.Page(data)
	if err != nil {
		return err
	}
	return os.WriteFile(capacityCommand.Page, page, 0o644)
}
