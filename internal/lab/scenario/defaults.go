package scenario

import (
	"time"
)

// Default is a small sound world.
func Default() Scenario {
	return Scenario{
		Coordination: defaultCoordination(),
		Name:         "default", Seed: 1, Length: Span(30 * time.Second),
		Gateways: Gateways{Count: 3, Zones: 2, MaxAttempts: 4},
		Servers: Servers{
			Count: 12, Cores: 2, QueueLimit: 40, Speed: [2]float64{0.9, 1.1}, RackSize: 6, MaxConnections: 1200,
			IdleTimeout: Span(30 * time.Second), HandshakeWork: Span(time.Millisecond), WarmUpStart: 0.25,
			WarmUpTime: Span(12 * time.Second), Cancellation: "queued",
		},
		Load: Load{Rate: 150, MeanUnits: 2, GatewayShare: [2]float64{0.5, 1}},
		Clients: Clients{
			Retries: 2, Backoff: Span(80 * time.Millisecond), RetryAfterShare: 0.7, MarkRepeats: true,
			Notice: Span(2 * time.Second),
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

// lanesUsual and plansUsual stand where a file has none.
func defaultClasses() []TrafficClass {
	ms := func(n int) Span { return Span(time.Duration(n) * time.Millisecond) }
	return []TrafficClass{
		{
			Name: "availability", Share: 0.5, Work: ms(60), Distribution: "exponential", LatencyObjective: ms(600),
			Timeout: ms(2500), Weight: 1, Effect: "pure",
		},
		{
			Name: "desk-hold", Share: 0.3, Work: ms(50), Distribution: "exponential", LatencyObjective: ms(400), Timeout: ms(1500), Weight: 3,
			Effect: "receipted", Group: "cell", DedupWindow: ms(1000),
		},
		{
			Name: "paid-confirm", Share: 0.2, Work: ms(60), Distribution: "lognormal", CV: 1,
			LatencyObjective: ms(500), Timeout: ms(1200), Weight: 3, Effect: "effectful",
		},
	}
}

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
