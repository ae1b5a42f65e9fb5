package conformance

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/subprocess"
)

// Processes listen on ports below the system's ephemeral range. A port is not probed before: a
// listener that was closed may live on for a moment in a program that is just being started by
// another test.
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

// listenAddress returns the n-th address of this test process. Concurrent test processes start far
// apart.
func listenAddress(n int64) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+(int64(os.Getpid())*portStride+n)%portCount)
}

// start starts the program on a free address and waits until it serves. If the address is taken it
// starts it once more on another.
func (p *processTarget) start(path string, launch *Launch) Instance {
	p.t.Helper()
	for range maxStarts {
		configFile := filepath.Join(launch.Dir, "config.json")
		gateway, err := p.startOnce(path, configFile, launch)
		if err == nil {
			p.t.Cleanup(func() {
				if p.t.Failed() {
					p.t.Logf("the gateway's log: %s", gateway.Log.String())
				}
			})
			return Instance{PID: p.pid, ConfigFile: configFile, Log: gateway.Log.String}
		}
		if !errors.Is(err, errAddressInUse) {
			p.t.Fatal(err)
		}
	}
	p.t.Fatal("no free address")
	return Instance{}
}

func (p *processTarget) startOnce(path, configFile string, launch *Launch) (*subprocess.Process, error) {
	p.t.Helper()
	p.addr = listenAddress(portsUsed.Add(1))
	launch.Config["listen"] = p.addr
	text, err := json.Marshal(launch.Config)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(configFile, text, 0o600); err != nil {
		return nil, err
	}
	gateway := subprocess.NewProcess(path, "gateway", append([]string{"RELAY_CONFIG=" + configFile}, launch.Env...)...)
	if err := gateway.Start(); err != nil {
		return nil, err
	}
	p.t.Cleanup(gateway.Kill)
	p.pid = gateway.PID()
	return gateway, p.awaitReady(gateway)
}

// awaitReady waits until the process serves. If it has ended instead, that is an error.
func (p *processTarget) awaitReady(gateway *subprocess.Process) error {
	p.t.Helper()
	fakes.Eventually(p.t, "a gateway that serves or has ended", func() bool {
		return !gateway.IsRunning() ||
			gateway.Log.Count(readyLine) > 0 && p.sendCommand(fakes.FormatCommand("PING")) == "+PONG"
	})
	switch {
	case gateway.IsRunning():
		return nil
	case gateway.Log.Count(addressInUse) > 0:
		return errAddressInUse
	}
	return fmt.Errorf("the gateway ended: %s", gateway.Log.String())
}

// launchConfig is a gateway's configuration in the platform's form: the same settings as
// settingsFor gives the module.
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
				"HasCounter": settings.HasCounter, "CountLimitMs": settings.LateCountAfter.Milliseconds(),
				"Settles": settings.ReportsUnits, "MostUnits": settings.MaxUnits,
			},
			"Report": object{"Fields": []string{}, "How": "off"},
			"PolicyLimits": object{
				"Cancelling": settings.CanCancel, "TryLimit": settings.MaxAttempts,
				"RetryAfter":       settings.SendsRetryAfter,
				"MaxRetryAfterMs":  settings.MaxRetryAfter.Milliseconds(),
				"ConnectTimeoutMs": counterConnectTimeout.Milliseconds(),
				"IdleCloseMs":      30000, "StreamsPerConn": 100,
			},
			"Rules": object{
				"AnswerSlackMs": settings.ArrivalSlack.Milliseconds(),
				"DrainGraceMs":  settings.DrainGrace.Milliseconds(),
				"ColdFrom":      settings.WarmUpStart, "WarmAfterMs": settings.WarmUpTime.Milliseconds(),
				"FallMultiple": settings.OverloadFactor, "TipAfterMs": settings.OverloadSpan.Milliseconds(),
			},
			"RequestClasses": requestClasses,
			"TiersOfService": []object{{"Name": plan.Name, "UnitsPerS": plan.Rate, "PeakUnits": plan.Burst}},
		},
	}
}
