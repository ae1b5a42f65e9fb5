package gateway

import (
	"os"
	"os/signal"
	"syscall"
)

// signals are those that the process handles. One of each kind waits until it is handled.
type signals struct {
	reload    chan os.Signal // SIGHUP
	terminate chan os.Signal // SIGTERM, SIGINT
}

func notifySignals() *signals {
	s := &signals{reload: make(chan os.Signal, 1), terminate: make(chan os.Signal, 1)}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	return s
}

func (s *signals) stop() {
	signal.Stop(s.terminate)
	signal.Stop(s.reload)
}
