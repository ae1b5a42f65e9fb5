package main

import (
	"net/http"
	"syscall"
	"time"
)

// trouble has a server hang or reset, discovery reject or fall silent, a server drain, and signals
// come, while there is load.
func (s *soak) trouble() {
	discovery := s.gateways[0].discovery
	step := soakLoadTime / 4
	s.servers[0].mode.Store([]int32{serverHangs, serverResets}[s.random.IntN(2)])
	time.Sleep(step)
	if s.random.IntN(2) == 0 {
		discovery.Fail(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	} else {
		discovery.Fail(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	}
	for _, g := range s.gateways {
		g.signal(syscall.SIGHUP, syscall.SIGHUP)
	}
	time.Sleep(soakDiscoveryOutage)
	discovery.Fail(nil)
	s.servers[0].mode.Store(serverServes)
	time.Sleep(step)
	// the fake answers watches that are open; a pushed agent is called so often
	told := time.Now().Add(200 * time.Millisecond)
	if s.isPolled {
		told = time.Now().Add(6 * time.Second)
	}
	s.ledger.setDrain(s.servers[1].name, told)
	discovery.Publish(false, s.servers[1].host("terminating"))
	s.servers[1].mode.Store(serverDrains)
	time.Sleep(step)
}

// terminate sends signals in series, with servers that may hang or be slow from then on, and
// SIGKILL at its earliest.
func (s *soak) terminate(g *soakGateway) {
	mode := []int32{serverServes, serverHangs, serverIsSlow}[s.random.IntN(3)]
	for _, server := range s.servers {
		server.mode.CompareAndSwap(serverServes, mode)
	}
	now := time.Now()
	g.termAt.Store(&now)
	g.signal(syscall.SIGTERM)
	time.AfterFunc(min(s.longest, 3*time.Second)+700*time.Millisecond, func() {
		if killAt := time.Now(); g.process.Process.Signal(syscall.Signal(0)) == nil {
			g.killAt.Store(&killAt)
			_ = g.process.Process.Kill()
		}
	})
	time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		_ = g.process.Process.Signal(signal) // it may have ended
	}
}
