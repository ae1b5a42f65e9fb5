package config

import (
	"encoding/json"
	"time"

	"harrierhoist/policy"
)

// fullConfiguration returns what Read must return for testdata/full.json, a file with every key.
func fullConfiguration() *Gateway {
	return &Gateway{
		Name:           "n3",
		Listen:         "127.0.0.1:4001",
		Discovery:      "127.0.0.1:4002",
		Counter:        "127.0.0.1:4003",
		Seed:           -245,
		Cores:          2.5,
		MemoryMB:       192,
		MaxDescriptors: 1024,
		Zones:          []string{"hall-a", "hall-b", "hall-c"},
		ServerModels:   []string{"m1", "m2"},
		ConnectTimeout: 250 * time.Millisecond,
		IdleTimeout:    30 * time.Second,
		KnownEndpoints: json.RawMessage(
			`{"seq": 7, "whole": true, "hosts": [{"host": "s-1", "dial": "10.1.0.18:6379"}]}`,
		),
		Settings: fullSettings(),
	}
}

// fullSettings returns the settings of testdata/full.json.
func fullSettings() policy.Settings {
	return policy.Settings{
		Gateways:         4,
		GatewayIndex:     3,
		GatewayZone:      1,
		Zones:            3,
		PollList:         true,
		MaxListAge:       6 * time.Second,
		ClockTick:        2500 * time.Microsecond,
		HasCounter:       true,
		LateCountAfter:   30500 * time.Microsecond,
		ReportsUnits:     true,
		MaxUnits:         6.25,
		UsageSpan:        time.Second,
		HasPeers:         true,
		HasHealthChecks:  true,
		CanCancel:        true,
		SendsRetryAfter:  true,
		MaxRetryAfter:    2 * time.Second,
		AllowHedging:     true,
		MaxAttempts:      6,
		ArrivalSlack:     8 * time.Millisecond,
		DrainGrace:       time.Second,
		WarmUpStart:      0.15,
		WarmUpTime:       16 * time.Second,
		OverloadFactor:   2.25,
		OverloadSpan:     1500 * time.Millisecond,
		LoadReportFields: []string{"cpu", "queue"},
		MailboxRate:      900,
		Classes:          fullClasses(),
		Plans:            fullPlans(),
	}
}

func fullClasses() []policy.TrafficClass {
	return []policy.TrafficClass{
		{
			Name: "look", LatencyObjective: 600 * time.Millisecond, Timeout: 2500 * time.Millisecond, Weight: 1,
			Effect: policy.Idempotent, Stream: true,
		},
		{
			Name:             "hold",
			LatencyObjective: 400125 * time.Microsecond,
			Timeout:          1500 * time.Millisecond,
			Weight:           3,
			LateFraction:     0.5,
			Effect:           policy.Keyed,
			Group:            policy.GroupZone,
			DedupWindow:      time.Second,
		},
		{
			Name:             "keep",
			LatencyObjective: 400 * time.Millisecond,
			Timeout:          1500 * time.Millisecond,
			Effect:           policy.Keyed,
			Group:            policy.GroupRack,
		},
		{
			Name:             "note",
			LatencyObjective: 400 * time.Millisecond,
			Timeout:          1500 * time.Millisecond,
			Effect:           policy.Keyed,
			Group:            policy.GroupAll,
		},
		{
			Name:             "pay",
			LatencyObjective: time.Microsecond,
			Timeout:          1000000 * time.Second,
			Effect:           policy.NonIdempotent,
		},
		{LatencyObjective: time.Millisecond, Timeout: 2 * time.Millisecond, Effect: policy.Idempotent},
	}
}

func fullPlans() []policy.Plan {
	return []policy.Plan{
		{
			Name:            "start",
			Rate:            2.2,
			Burst:           12,
			MaxInFlight:     4,
			CeilingRate:     3.5,
			CeilingBurst:    20,
			CeilingSlack:    0.1,
			Price:           1.25,
			OverQuotaWeight: 0.4,
			OverQuotaCost:   7,
		},
		{Name: "open"},
	}
}
