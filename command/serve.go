package command

import (
	"os"

	"fescuehall/entry"
	"fescuehall/logbook"
	"fescuehall/setting"
)

func init() {
	register("serve", "Run an entry host until SIGTERM or SIGINT.", &serve{})
}

type serve struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file, JSON."`
}

// Run serves until SIGINT or SIGTERM.
func (serve *serve) Run() error {
	settings, err := setting.Load(serve.Settings)
	if err != nil {
		return &ExitError{Code: ExitUsage, Detail: err.Error()}
	}
	log, err := logbook.New(os.Stderr, string(settings.Log.Level), string(settings.Log.Format))
	if err != nil {
		return err
	}
	ctx := signalContext()
	host := &entry.Host{Settings: settings, Logbook: log}
	return host.Run(ctx)
}
