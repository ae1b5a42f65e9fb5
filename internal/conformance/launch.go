package conformance

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"

	"harrierhoist/internal/testing/fakes"
)

// Ports for processes to listen at lie below those that the system gives to callers and to listeners without a wish.
// They are not tried before: a listener that was closed may live on for a moment in a program that starts beside.
const (
	portFirst  = 20000
	ports      = 10000
	portsApart = 101 // between tests whose process numbers follow each other: more than one needs
	taken      = "address already in use"
	ready      = `"msg":"gateway: ready"` // without it another program might answer there
	startsMost = 20
)

var ported atomic.Int64 // how many were used by this test

// address gives the n-th address of this test's own: tests side by side begin far apart.
func address(n int64) string {
	return fmt.Sprintf("127.0.0.1:%d", portFirst+(int64(os.Getpid())*portsApart+n)%ports)
}

// start starts the program at a free address and waits until it serves. One that finds its address taken is started
// once more at another.
func (p *process) start(path string, l *Launch) Running {
	p.t.Helper()
	file, log := filepath.Join(l.Dir, "config.json"), filepath.Join(l.Dir, "log")
	r := Running{Config: file, Log: func() string { text, _ := os.ReadFile(log); return string(text) }}
	for range startsMost {
		p.addr = address(ported.Add(1))
		l.Config["listen"] = p.addr
		text, err := json.Marshal(l.Config)
		if err == nil {
			err = os.WriteFile(file, text, 0o600)
		}
		if err != nil {
			p.t.Fatal(err)
		}
		out, err := os.Create(log)
		if err != nil {
			p.t.Fatal(err)
		}
		cmd := exec.Command(path)
		cmd.Env = append(append(os.Environ(), "RELAY_CONFIG="+file), l.Env...)
		cmd.Stdout, cmd.Stderr = out, out
		err = cmd.Start()
		_ = out.Close()
		if err != nil {
			p.t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() { _ = cmd.Wait(); close(ended) }()
		p.t.Cleanup(func() { _ = cmd.Process.Kill(); <-ended })
		fakes.Eventually(p.t, "a gateway that serves or has ended", func() bool {
			select {
			case <-ended:
				return true
			default:
			}
			return strings.Contains(r.Log(), ready) && p.ask(fakes.FormatCommand("PING")) == "+PONG"
		})
		select {
		case <-ended:
			if strings.Contains(r.Log(), taken) {
				continue
			}
			p.t.Fatalf("the gateway ended: %s", r.Log())
		default:
		}
		p.pid, r.Pid = cmd.Process.Pid, cmd.Process.Pid
		p.t.Cleanup(func() {
			if p.t.Failed() {
				p.t.Logf("the gateway's log: %s", r.Log())
			}
		})
		return r
	}
	p.t.Fatal("no free address")
	return r
}

// launchConfig is what a gateway is told at its start, in its own form: the same deployment as site gives the module.
func launchConfig(p *process, plan Plan) map[string]any {
	type pairs = map[string]any
	d := site(plan, p.width)
	var classes []pairs
	for _, l := range d.Classes {
		classes = append(classes, pairs{
			"Name": l.Name, "AimMs": l.LatencyObjective.Milliseconds(),
			"DeadlineMs": l.Timeout.Milliseconds(), "Effect": "read_like", "Worth": l.Weight,
		})
	}
	return pairs{
		"name": "n0", "discovery": p.discovery.Addr, "counter": p.counter.Addr,
		"seed": fmt.Sprintf("%016x", seed), "limits": pairs{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": pairs{
			"Balancers": d.Gateways, "Me": 0, "MyZone": 0, "Dcs": []string{"hall-a"}, "Models": []string{"m2"},
			"Discovery": "push", "TickMs": d.ClockTick.Milliseconds(),
			"FamilyInfo": pairs{
				"HasCounter": d.HasCounter, "CountLimitMs": d.CountTimeout.Milliseconds(),
				"Settles": d.ReportsUnits, "MostUnits": d.MaxUnits,
			},
			"Report": pairs{"Fields": []string{}, "How": "off"},
			"PolicyLimits": pairs{
				"Cancelling": d.CanCancel, "TryLimit": d.MaxAttempts, "RetryAfter": d.RetryAfter,
				"MaxRetryAfterMs": d.MaxRetryAfter.Milliseconds(), "ConnectTimeoutMs": connectWithin.Milliseconds(),
				"IdleCloseMs": 30000, "StreamsPerConn": 100,
			},
			"Rules": pairs{
				"AnswerSlackMs": d.ArrivalSlack.Milliseconds(), "DrainGraceMs": d.DrainGrace.Milliseconds(),
				"ColdFrom": d.WarmUpStart, "WarmAfterMs": d.WarmUpTime.Milliseconds(), "FallMultiple": d.OverloadFactor,
				"TipAfterMs": d.OverloadSpan.Milliseconds(),
			},
			"RequestClasses": classes,
			"TiersOfService": []pairs{{"Name": plan.Name, "UnitsPerS": plan.Rate, "PeakUnits": plan.Burst}},
		},
	}
}

// talks notes, once each and in the order of their names, whom the process is connected with, by the system's tables.
// Clients are left out: those are who came to its own address.
func (p *process) talks() {
	p.t.Helper()
	own := map[string]bool{} // its sockets' numbers
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.pid))
	for _, l := range links {
		if to, _ := os.Readlink(l); strings.HasPrefix(to, "socket:[") {
			own[strings.Trim(to, "socket:[]")] = true
		}
	}
	if len(own) == 0 {
		p.t.Fatal("the process has no sockets")
	}
	names := map[string]string{p.counter.Addr: "counter", p.discovery.Addr: "discovery"}
	for _, s := range p.servers {
		names[s.Addr] = "server"
	}
	for _, a := range p.peers {
		names[a] = "peer"
	}
	var with []string
	for _, table := range []string{"tcp", "tcp6", "udp", "udp6"} {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", p.pid, table))
		for _, line := range strings.Split(string(text), "\n")[1:] {
			f := strings.Fields(line)
			if len(f) < 10 || !own[f[9]] || endpoint(f[1]) == p.addr {
				continue
			}
			name, known := names[endpoint(f[2])]
			if !known {
				name = "elsewhere " + table + " " + endpoint(f[2])
			}
			with = append(with, "talks "+name)
		}
	}
	slices.Sort(with)
	for _, line := range slices.Compact(with) {
		p.seen.add(line)
	}
}

// endpoint reads an address of the system's tables, as 0100007F:1F90; what it cannot read it gives as it is.
func endpoint(text string) string {
	var a, b, c, d byte
	var port int
	n, _ := fmt.Sscanf(text, "%02X%02X%02X%02X:%04X", &d, &c, &b, &a, &port)
	if n != 5 || len(text) != len("0100007F:1F90") {
		return text
	}
	return fmt.Sprintf("%s:%d", net.IPv4(a, b, c, d), port)
}
