package faultinjection

import (
	"encoding/json"
	"fmt"
)

// Traffic classes and plans of the gateways' settings.
const (
	IdempotentClass    = "look"
	NonIdempotentClass = "pay"
	largePlan          = "wide"
	smallPlan          = "thin" // 10 units per second
)

// object is an object of a gateway's configuration, with the keys of the settings' page.
type object = map[string]any

// gatewayIdentity is what differs between gateways.
type gatewayIdentity struct {
	name, addr          string
	number, zone, total int
}

// gatewayConfig returns a gateway's configuration.
func (env *Environment) gatewayConfig(gateway gatewayIdentity) []byte {
	env.T.Helper()
	text, err := json.Marshal(object{
		"name": gateway.name, "listen": gateway.addr, "discovery": env.Discovery.Addr, "counter": env.Counter.Addr,
		"seed":     fmt.Sprintf("%016x", gateway.number+1),
		"limits":   object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    json.RawMessage(env.Discovery.FullList()),
		"settings": env.gatewaySettings(gateway),
	})
	must(env.T, err)
	return text
}

func (env *Environment) gatewaySettings(gateway gatewayIdentity) object {
	return object{
		"Balancers": gateway.total, "Me": gateway.number, "MyZone": gateway.zone,
		"Dcs": env.Zones, "Models": []string{"m"},
		"Discovery":  "push",
		"TickMs":     2,
		"FamilyInfo": object{"HasCounter": true, "CountLimitMs": 200, "Settles": true, "MostUnits": 6},
		"Report":     object{"Fields": []string{}, "How": "off"},
		"PolicyLimits": object{
			"Cancelling": true, "TryLimit": 6, "RetryAfter": true, "MaxRetryAfterMs": 2000, "ConnectTimeoutMs": 250,
			"IdleCloseMs": 30000, "StreamsPerConn": 100,
		},
		"Rules": object{
			"AnswerSlackMs": 8, "DrainGraceMs": 1000, "ColdFrom": 0.15, "WarmAfterMs": 4000, "FallMultiple": 2,
			"TipAfterMs": 1500,
		},
		"RequestClasses": []any{
			classSettings(IdempotentClass, "read_like"), classSettings(NonIdempotentClass, "non_idempotent"),
		},
		"TiersOfService": []any{
			object{"Name": largePlan, "UnitsPerS": 100000, "PeakUnits": 400000},
			object{"Name": smallPlan, "UnitsPerS": 10, "PeakUnits": 10},
		},
	}
}

func classSettings(name, effect string) object {
	return object{
		"Name": name, "AimMs": 1000, "DeadlineMs": 3000, "Effect": effect, "Group": "cell", "WindowMs": 1000,
		"Worth": 1,
	}
}
