package railsiteprocess

import (
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/fulmarrail/fulmarrail/internal/config/railsite"
)

// reloadSettings reloads the settings on each SIGHUP. A changed log level takes effect immediately. Any other change requires a
// restart, which the log line reports. It also runs during shutdown, since an unhandled SIGHUP would end the process.
func (p *Process) reloadSettings(hangups <-chan os.Signal) {
	for range hangups {
		site, err := railsite.Load(p.settingsPath)
		if err != nil {
			p.Log.Error("failed to reload settings; keeping the previous ones", "err", err)
			continue
		}
		p.logLevel.Set(site.Level())
		p.Log.Info("settings read again", "needsRestart", !reflect.DeepEqual(site, p.Site))
	}
}

// notifyHangups returns a channel that receives each SIGHUP until the process ends.
func notifyHangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
