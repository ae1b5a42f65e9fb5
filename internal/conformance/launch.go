package conformance

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"

	"harrierhoist/internal/testing/fakes"
)

// Processes listen on ports below the system's ephemeral range. A port is not probed before: a listener that was closed
// may live on for a moment in a program that is just being started by another test.
const (
	firstPort  = 20000
	portCount  = 10000
	portStride = 101 // between test processes with consecutive IDs; a run may need more
	maxStarts  = 20  // of one process, each on another port
)

// What a starting process logs.
const (
	addressInUse = "address already in use"
	readyLine    = `"msg":"gateway: ready"` // without it another program might answer on the port
)

var errAddressInUse = errors.New("address in use")

// portsUsed is how many ports this test process has used.
var portsUsed atomic.Int64

// listenAddress returns the n-th address of this test process. Concurrent test processes start far apart.
func listenAddress(n int64) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+(int64(os.Getpid())*portStride+n)%portCount)
}

// start starts the program on a free address and waits until it serves. If the address is taken it starts it once more
// on another.
func (p *processTarget) start(path string, launch *Launch) Instance {
	p.t.Helper()
	logFile := filepath.Join(launch.Dir, "log")
	instance := Instance{ConfigFile: filepath.Join(launch.Dir, "config.json"), Log: func() string {
		text, err := os.ReadFile(logFile)
		if err != nil {
			return err.Error()
		}
		return string(text)
	}}
	for range maxStarts {
		err := p.startOnce(path, logFile, launch, &instance)
		if err == nil {
			p.t.Cleanup(func() {
				if p.t.Failed() {
					p.t.Logf("the gateway's log: %s", instance.Log())
				}
			})
			return instance
		}
		if !errors.Is(err, errAddressInUse) {
			p.t.Fatal(err)
		}
	}
	p.t.Fatal("no free address")
	return instance
}

func (p *processTarget) startOnce(path, logFile string, launch *Launch, instance *Instance) error {
	p.t.Helper()
	p.addr = listenAddress(portsUsed.Add(1))
	launch.Config["listen"] = p.addr
	text, err := json.Marshal(launch.Config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(instance.ConfigFile, text, 0o600); err != nil {
		return err
	}
	out, err := os.Create(logFile)
	if err != nil {
		return err
	}
	cmd := exec.Command(path)
	cmd.Env = append(append(os.Environ(), "RELAY_CONFIG="+instance.ConfigFile), launch.Env...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := errors.Join(cmd.Start(), out.Close()); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit status says nothing: the process is killed at the end, and its log tells why it ended
		close(ended)
	}()
	p.t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails if it has ended
		<-ended
	})
	p.pid, instance.PID = cmd.Process.Pid, cmd.Process.Pid
	return p.awaitReady(instance, ended)
}

// awaitReady waits until the process serves. If it has ended instead, that is an error.
func (p *processTarget) awaitReady(instance *Instance, ended <-chan struct{}) error {
	p.t.Helper()
	hasEnded := func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	}
	fakes.Eventually(p.t, "a gateway that serves or has ended", func() bool {
		return hasEnded() ||
			strings.Contains(instance.Log(), readyLine) && p.sendCommand(fakes.FormatCommand("PING")) == "+PONG"
	})
	switch {
	case !hasEnded():
		return nil
	case strings.Contains(instance.Log(), addressInUse):
		return errAddressInUse
	}
	return fmt.Errorf("the gateway ended: %s", instance.Log())
}

// launchConfig is a gateway's configuration in the platform's form: the same settings as settingsFor gives the module.
func launchConfig(p *processTarget, plan Plan) map[string]any {
	type object = map[string]any
	settings := settingsFor(plan, p.gatewayCount)
	var requestClasses []object
	for _, c := range settings.Classes {
		requestClasses = append(requestClasses, object{
			"Name": c.Name, "AimMs": c.LatencyObjective.Milliseconds(),
			"DeadlineMs": c.Timeout.Milliseconds(), "Effect": "read_like", "Worth": c.Weight,
		})
	}
	return object{
		"name": "n0", "discovery": p.discovery.Addr, "counter": p.counter.Addr,
		"seed": fmt.Sprintf("%016x", randomSeed), "limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": object{
			"Balancers": settings.Gateways, "Me": 0, "MyZone": 0, "Dcs": []string{zoneA}, "Models": []string{"m2"},
			"Discovery": "push", "TickMs": settings.ClockTick.Milliseconds(),
			"FamilyInfo": object{
				"HasCounter": settings.HasCounter, "CountLimitMs": settings.CountTimeout.Milliseconds(),
				"Settles": settings.ReportsUnits, "MostUnits": settings.MaxUnits,
			},
			"Report": object{"Fields": []string{}, "How": "off"},
			"PolicyLimits": object{
				"Cancelling": settings.CanCancel, "TryLimit": settings.MaxAttempts, "RetryAfter": settings.RetryAfter,
				"MaxRetryAfterMs":  settings.MaxRetryAfter.Milliseconds(),
				"ConnectTimeoutMs": counterConnectTimeout.Milliseconds(),
				"IdleCloseMs":      30000, "StreamsPerConn": 100,
			},
			"Rules": object{
				"AnswerSlackMs": settings.ArrivalSlack.Milliseconds(), "DrainGraceMs": settings.DrainGrace.Milliseconds(),
				"ColdFrom": settings.WarmUpStart, "WarmAfterMs": settings.WarmUpTime.Milliseconds(),
				"FallMultiple": settings.OverloadFactor, "TipAfterMs": settings.OverloadSpan.Milliseconds(),
			},
			"RequestClasses": requestClasses,
			"TiersOfService": []object{{"Name": plan.Name, "UnitsPerS": plan.Rate, "PeakUnits": plan.Burst}},
		},
	}
}
