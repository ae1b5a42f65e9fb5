package scenario

import "time"

// ms makes a span of milliseconds.
func ms(n int) Span { return Span(time.Duration(n) * time.Millisecond) }

// Default is a small valid scenario, without classes and plans.
func Default() Scenario {
	return Scenario{
		Coordination: defaultCoordination(),
		Name:         "default", Seed: 1, Length: Span(30 * time.Second),
		Gateways: Gateways{Count: 3, Zones: 2, MaxAttempts: 4},
		Servers: Servers{
			Count: 12, Cores: 2, QueueLimit: 40, Speed: [2]float64{0.9, 1.1}, RackSize: 6, MaxConnections: 1200,
			IdleTimeout: Span(30 * time.Second), HandshakeWork: Span(time.Millisecond), WarmUpStart: 0.25,
			WarmUpTime: Span(12 * time.Second), Cancellation: CancelQueued,
		},
		Load: Load{Rate: 150, MeanUnits: 2, GatewayShare: [2]float64{0.5, 1}},
		Clients: Clients{
			Retries: 2, Backoff: Span(80 * time.Millisecond), RetryAfterShare: 0.7, MarkRepeats: true,
		},
		Counter: Counter{
			Rate: 1000, MaxWait: Span(20 * time.Millisecond), ServiceTime: Span(time.Millisecond),
			Timeout: Span(30 * time.Millisecond),
		},
		Discovery: Discovery{Lag: [2]Span{Span(300 * time.Millisecond), Span(1500 * time.Millisecond)}},
		Network: Network{
			SameZone: Span(200 * time.Microsecond), CrossZone: Span(2 * time.Millisecond), Jitter: 0.2,
			ConnectTimeout: Span(250 * time.Millisecond),
		},
		Rules: Rules{
			DrainGrace: Span(time.Second), AnswerSlack: Span(8 * time.Millisecond), OverloadFactor: 2,
			OverloadSpan: Span(1500 * time.Millisecond), OverloadDowntime: Span(1500 * time.Millisecond),
		},
	}
}

// defaultClasses are the classes of a file that has none.
func defaultClasses() []TrafficClass {
	return []TrafficClass{
		{
			Name:             "availability",
			Share:            0.5,
			Work:             ms(60),
			Distribution:     DistributionExponential,
			LatencyObjective: ms(600),
			Timeout:          ms(2500),
			Weight:           1,
			Effect:           EffectIdempotent,
		},
		{
			Name:             "desk-hold",
			Share:            0.3,
			Work:             ms(50),
			Distribution:     DistributionExponential,
			LatencyObjective: ms(400),
			Timeout:          ms(1500),
			Weight:           3,
			Effect:           EffectKeyed,
			Group:            GroupRack,
			DedupWindow:      ms(1000),
		},
		{
			Name: "paid-confirm", Share: 0.2, Work: ms(60), Distribution: DistributionLognormal, CV: 1,
			LatencyObjective: ms(500), Timeout: ms(1200), Weight: 3, Effect: EffectNonIdempotent,
		},
	}
}

// defaultPlans are the plans of a file that has none.
func defaultPlans() []Plan {
	return []Plan{
		{Name: "start", Share: 0.3, Customers: 100, Rate: 2, Burst: 12, Price: 0.6, OverQuotaCost: 1},
		{
			Name: "office", Share: 0.3, Customers: 20, Rate: 14, Burst: 30, CeilingRate: 30, CeilingBurst: 60,
			CeilingSlack: 6, Price: 1.3, OverQuotaCost: 1.2,
		},
		{Name: "enterprise", Share: 0.4, Customers: 8, Rate: 40, Burst: 80, Price: 1.6, OverQuotaCost: 0.6},
	}
}

// setDefaults fills in what a file left out.
func (s *Scenario) setDefaults() {
	if len(s.Classes) == 0 {
		s.Classes = defaultClasses()
	}
	if len(s.Plans) == 0 {
		s.Plans = defaultPlans()
	}
	for i := range s.Classes {
		class := &s.Classes[i]
		if class.Distribution == "" {
			class.Distribution = DistributionExponential
		}
		if class.Effect == "" {
			class.Effect = EffectIdempotent
		}
		if class.Weight == 0 {
			class.Weight = 1
		}
	}
	for i := range s.Plans {
		if plan := &s.Plans[i]; plan.Price == 0 {
			plan.Price = 1
		}
	}
}
