package command

import (
	"os"
	"os/signal"
	"syscall"

	"fescuehall/logbook"
	"fescuehall/platform"
)

func init() {
	register("front", "Run an entry host on the platform, with the settings file whose path the platform sets.", &front{})
}

type front struct {
	Metrics string `help:"IP:port to serve metrics on; not served when empty."`
}

// Run serves until SIGINT or SIGTERM.
func (front *front) Run() error {
	// Without a handler SIGHUP ends the process, so the signals come before anything
	// that takes time. A SIGHUP has the settings read again once the host runs.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// Writing to a log whose reader has closed it must not end the process.
	signal.Ignore(syscall.SIGPIPE)
	ctx := signalContext()
	path, err := platform.SettingsPath()
	if err != nil {
		return &ExitError{Code: ExitUsage, Detail: err.Error()}
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return &ExitError{Code: ExitUsage, Detail: err.Error()}
	}
	queue := logbook.NewQueue(os.Stdout)
	defer queue.Close()
	log, err := logbook.New(queue, "info", "json")
	if err != nil {
		return err
	}
	log.Host = settings.Host
	if ctx.Err() != nil {
		// No caller has been able to connect.
		return nil
	}
	host := &platform.Host{Settings: settings, Logbook: log, SettingsPath: path, Reload: reload, MetricsAddress: front.Metrics}
	return host.Run(ctx)
}
