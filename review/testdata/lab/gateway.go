package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"harrierhoist/internal/testing/subprocess"
)

type object = map[string]any

// process is a program of the project that the case started, by the command "run" of the deploy file.
type process struct {
	name, log string
	command   *exec.Cmd
	ended     chan struct{}
}

// runCommand returns the command "run" of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, `run = "`); ok {
			return strings.TrimSuffix(value, `"`), nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no run")
}

// lab holds what a case has started, and ends it.
type lab struct {
	rec       *record
	temp      string
	processes []*process
}

// start starts a process in a folder that holds bin/harrierhoist. prefix stands before the command.
func (l *lab) start(name, folder, prefix string, env ...string) (*process, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	p := &process{name: name, log: filepath.Join(l.temp, name+".stderr"), ended: make(chan struct{})}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command("/bin/sh", "-c", prefix+run)
	p.command.Dir = folder
	p.command.Env = append(os.Environ(), append(env, "TMPDIR="+l.temp)...)
	reader, writer, err := os.Pipe() // the log comes through a pipe: a limit on file sizes does not concern it
	if err != nil {
		return nil, err
	}
	p.command.Stdout, p.command.Stderr = writer, writer
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	_ = writer.Close()
	copied, err := os.OpenFile(p.log, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	go func() {
		_, _ = copied.ReadFrom(reader)
		_ = copied.Close()
		_ = reader.Close()
	}()
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	l.processes = append(l.processes, p)
	l.rec.add("started %s, process %d", name, p.command.Process.Pid)
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// awaitEnd waits for the end of a process.
func (p *process) awaitEnd(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// logText returns what the process has written so far.
func (p *process) logText() string {
	text, _ := os.ReadFile(p.log)
	return string(text)
}

// close ends all processes that the case started.
func (l *lab) close() {
	for _, p := range l.processes {
		if p.running() {
			p.signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			p.awaitEnd(5 * time.Second)
		}
	}
	_ = os.RemoveAll(l.temp)
}

// awaitReady waits until a gateway answers PING.
func awaitReady(addr string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if subprocess.IsReady(addr) {
			return nil
		}
	}
	return fmt.Errorf("gateway at %s is not ready", addr)
}

// freeAddr returns a loopback address that belongs to this process by its ID.
var nextPort = 10000

func freeAddr() (string, error) {
	id := os.Getpid()
	for nextPort < 20000 {
		nextPort++
		addr := fmt.Sprintf("127.%d.%d.%d:%d", 60+id>>16&0x1f, id>>8&0xff, id&0xff, nextPort)
		listener, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, listener.Close()
		}
	}
	return "", errors.New("no free port")
}

// class is a class of requests in the settings.
type class struct {
	name, effect, group   string
	aim, deadline, window int // milliseconds
}

// settings is what differs between the gateways' settings of the cases.
type settings struct {
	gateways, me, zone int
	halls              []string
	classes            []class
	plans              []object
	lateCount          int
}

func (s settings) object(hasCounter bool) object {
	var classes []any
	for _, c := range s.classes {
		classes = append(classes, object{
			"Name": c.name, "AimMs": c.aim, "DeadlineMs": c.deadline, "Effect": c.effect, "Group": c.group,
			"WindowMs": c.window, "Worth": 1, "LateShare": 0, "Stream": false,
		})
	}
	return object{
		"Balancers": s.gateways, "Me": s.me, "MyZone": s.zone, "Dcs": s.halls, "Models": []string{"std"},
		"Discovery": "push", "TickMs": 2,
		"FamilyInfo": object{"HasCounter": hasCounter, "CountLimitMs": max(s.lateCount, 80), "Settles": true, "MostUnits": 8},
		"Report":     object{"Fields": []string{}, "How": "off"},
		"PolicyLimits": object{
			"Cancelling": true, "TryLimit": 6, "RetryAfter": true, "MaxRetryAfterMs": 2000, "ConnectTimeoutMs": 250,
			"IdleCloseMs": 30000, "StreamsPerConn": 100, "Probes": true, "SecondCopies": false,
		},
		"Rules": object{
			"AnswerSlackMs": 8, "DrainGraceMs": 500, "ColdFrom": 0.16, "WarmAfterMs": 18000, "FallMultiple": 2.5,
			"TipAfterMs": 2000,
		},
		"RequestClasses": classes,
		"TiersOfService": s.plans,
	}
}

// writeConfig writes a gateway's configuration file, in one step. Without a counter c is nil.
func writeConfig(path, name, listen string, d *discovery, c *counter, s settings) error {
	counterAddr := ""
	if c != nil {
		counterAddr = c.addr
	}
	text, err := json.MarshalIndent(object{
		"name": name, "listen": listen, "discovery": d.addr, "counter": counterAddr,
		"seed":     fmt.Sprintf("%016x", 0x8c1f30d27a5b0000+uint64(s.me)),
		"limits":   object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    json.RawMessage(d.known()),
		"settings": s.object(c != nil),
	}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func mkdir(path string) error { return os.Mkdir(path, 0o700) }
