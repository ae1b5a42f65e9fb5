package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

type object = map[string]any

// gateway is a process that was started with the command of the deploy file.
type gateway struct {
	address string
	config  string // path of the configuration file
	command *exec.Cmd
	done    chan struct{}
	rec     *record

	mu    sync.Mutex
	stops []time.Time // when the process began to stand still
}

// runCommand returns the command `run` of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, `run = "`); found {
			return strings.TrimSuffix(strings.TrimSpace(rest), `"`), nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no command run")
}

// freeAddress returns a loopback address that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startGateway writes a configuration into folder, starts a gateway and waits until it answers PING.
func startGateway(folder, name, discovery, counter string, settings object, rec *record) (*gateway, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(object{
		"name": name, "listen": address, "discovery": discovery, "counter": counter, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": settings,
	}, "", " ")
	if err != nil {
		return nil, err
	}
	g := &gateway{address: address, config: filepath.Join(folder, name+".json"), done: make(chan struct{}), rec: rec}
	if err := os.WriteFile(g.config, text, 0o644); err != nil {
		return nil, err
	}
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".err"))
	if err != nil {
		return nil, err
	}
	g.command = exec.Command("/bin/sh", "-c", run)
	g.command.Env = append(os.Environ(), "RELAY_CONFIG="+g.config, "RELAY_NAME="+name, "RELAY_LISTEN="+address,
		"RELAY_DISCOVERY="+discovery)
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.command.Stdout = log
	g.command.Stderr = log
	if err := g.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = g.command.Wait()
		close(g.done)
	}()
	rec.now("start    gateway %s", name)
	if err := g.awaitReady(); err != nil {
		g.kill()
		return nil, err
	}
	return g, nil
}

func (g *gateway) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		conn, err := net.Dial("tcp", g.address)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write(encode("PING"))
		line, _ := bufio.NewReader(conn).ReadString('\n')
		_ = conn.Close()
		if strings.HasPrefix(line, "+PONG") {
			g.rec.now("ready    gateway")
			return nil
		}
	}
	return fmt.Errorf("the gateway is not ready after 15 s")
}

func (g *gateway) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

// isRunning reports whether the process has not ended.
func (g *gateway) isRunning() bool {
	select {
	case <-g.done:
		return false
	default:
		return true
	}
}

// standStill stops the process for a time, as a machine that stands still.
func (g *gateway) standStill(span time.Duration) {
	g.rec.now("stop     gateway")
	g.mu.Lock()
	g.stops = append(g.stops, time.Now())
	g.mu.Unlock()
	g.signal(syscall.SIGSTOP)
	time.Sleep(span)
	g.rec.now("continue gateway")
	g.signal(syscall.SIGCONT)
}

// stoodStillBetween reports whether the process began to stand still between two times.
func (g *gateway) stoodStillBetween(from, to time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.stops, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// standStillNowAndThen lets the process stand still for 1.5 to 2 s, every 3 to 3.4 s, until end.
func (g *gateway) standStillNowAndThen(random *rand.Rand, end time.Time) {
	for {
		next := time.Now().Add(time.Duration(3000+random.IntN(400)) * time.Millisecond)
		if next.Add(2 * time.Second).After(end) {
			return
		}
		g.standStill(time.Duration(1500+random.IntN(500)) * time.Millisecond)
		time.Sleep(time.Until(next))
	}
}

// kill ends the process.
func (g *gateway) kill() {
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	<-g.done
}
