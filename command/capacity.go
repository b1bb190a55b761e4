package command

import (
	"os"
	"time"

	"fescuehall/capacity"
)

func init() {
	register("capacity", "Measure how costs grow with size, or work out the capacity page from a file of measurements.", &slopes{})
}

type slopes struct {
	Data    string `default:"docs/capacity.json" help:"File of measurements."`
	Page    string `default:"docs/CAPACITY.md" help:"Page to write."`
	Measure bool   `help:"Measure anew and replace the file; takes some minutes."`
	Only    string `help:"Names of the slopes to measure, with commas; the others are kept."`
}

// Run measures if asked to, and writes the page.
func (slopes *slopes) Run() error {
	if slopes.Measure {
		data, err := capacity.Measure(time.Now(), slopes.Only)
		if err != nil {
			return err
		}
		if old, err := capacity.Read(slopes.Data); err == nil && slopes.Only != "" {
			data = old.With(data)
		}
		if err := data.Write(slopes.Data); err != nil {
			return err
		}
	}
	data, err := capacity.Read(slopes.Data)
	if err != nil {
		return err
	}
	page, err := capacity.Page(data)
	if err != nil {
		return err
	}
	return os.WriteFile(slopes.Page, page, 0o644)
}
