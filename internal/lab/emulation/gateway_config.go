package emulation

import (
	"encoding/json"
	"fmt"
	"time"

	"harrierhoist/internal/lab/scenario"
)

const (
	model           = "std" // the machine model of all servers
	clockTickMs     = 2
	maxRetryAfterMs = 2000
	memoryMB        = 192
	seedSpacing     = 1000 // between the seeds of two scenarios: more than gateways on one machine
)

// The settings' words for those of a scenario file.
var (
	effects = map[string]string{
		scenario.EffectIdempotent: "read_like", scenario.EffectKeyed: "idempotency_key",
		scenario.EffectNonIdempotent: "non_idempotent",
	}
	groups = map[string]string{
		scenario.GroupAll: "all", scenario.GroupZone: "zone", scenario.GroupRack: "cell", "": "all",
	}
)

type object = map[string]any

// GatewayConfig returns the configuration of a gateway of this scenario in the platform's form, as
// JSON: its number, the address that it listens on, and how many sockets it may have.
func (b *Backend) GatewayConfig(number int, listen string, sockets int) ([]byte, error) {
	counter := ""
	if b.Counter != nil {
		counter = b.Counter.Addr
	}
	return json.Marshal(object{
		"name": fmt.Sprintf("n%d", number), "listen": listen, "discovery": b.Discovery.Addr, "counter": counter,
		"seed":     fmt.Sprintf("%016x", b.spec.Seed*seedSpacing+uint64(number)),
		"limits":   object{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"settings": b.settings(number),
	})
}

func (b *Backend) settings(number int) object {
	spec := b.spec
	settings := spec.PolicySettings(number)
	var zones []string
	for i := range spec.Gateways.Zones {
		zones = append(zones, zoneName(i))
	}
	return object{
		"Balancers":      spec.Gateways.Count,
		"Me":             number,
		"MyZone":         settings.GatewayZone,
		"Dcs":            zones,
		"Models":         []string{model},
		"TickMs":         clockTickMs,
		"RequestClasses": classObjects(spec),
		"TiersOfService": planObjects(spec),
		"FamilyInfo": object{
			"HasCounter": b.Counter != nil, "CountLimitMs": milliseconds(spec.Counter.Timeout), "Settles": true,
			"MostUnits": settings.MaxUnits,
		},
		"Rules": object{
			"DrainGraceMs": milliseconds(spec.Rules.DrainGrace), "ColdFrom": spec.Servers.WarmUpStart,
			"WarmAfterMs": milliseconds(spec.Servers.WarmUpTime), "FallMultiple": spec.Rules.OverloadFactor,
			"TipAfterMs": milliseconds(spec.Rules.OverloadSpan), "AnswerSlackMs": milliseconds(spec.Rules.AnswerSlack),
		},
		"PolicyLimits": object{
			"Cancelling":       true,
			"RetryAfter":       true,
			"MaxRetryAfterMs":  maxRetryAfterMs,
			"TryLimit":         spec.Gateways.MaxAttempts,
			"ConnectTimeoutMs": milliseconds(spec.Network.ConnectTimeout),
			"IdleCloseMs":      milliseconds(spec.Servers.IdleTimeout),
		},
	}
}

func classObjects(spec *scenario.Scenario) (classes []object) {
	for _, c := range spec.Classes {
		classes = append(classes, object{
			"Name": c.Name, "AimMs": milliseconds(c.LatencyObjective), "DeadlineMs": milliseconds(c.Timeout),
			"Worth": c.Weight, "LateShare": c.LateFraction, "Effect": effects[c.Effect], "Group": groups[c.Group],
			"WindowMs": milliseconds(c.DedupWindow),
		})
	}
	return classes
}

func planObjects(spec *scenario.Scenario) (plans []object) {
	for _, p := range spec.Plans {
		plans = append(plans, object{
			"Name": p.Name, "UnitsPerS": p.Rate, "PeakUnits": p.Burst, "CeilingRate": p.CeilingRate,
			"CapDepth": p.CeilingBurst, "CeilingSlack": p.CeilingSlack, "Pays": p.Price, "OverCost": p.OverQuotaCost,
		})
	}
	return plans
}

func milliseconds(span scenario.Span) float64 { return float64(span.D()) / float64(time.Millisecond) }
