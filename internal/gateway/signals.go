package gateway

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds the channels of the signals that the process handles. Each channel buffers one
// signal, so that a signal is not lost while an earlier one is being handled.
type signals struct {
	reload    chan os.Signal // SIGHUP
	terminate chan os.Signal // SIGTERM, SIGINT
}

// notifySignals starts relaying signals to the returned channels until stop is called.
func notifySignals() *signals {
	s := &signals{reload: make(chan os.Signal, 1), terminate: make(chan os.Signal, 1)}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// stop restores the default handling of the signals.
func (s *signals) stop() {
	signal.Stop(s.terminate)
	signal.Stop(s.reload)
}
