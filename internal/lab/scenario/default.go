package scenario

import (
	"time"
)

// Default is a small sound world.
func Default() World {
	return World{
		Common: commonUsual(),
		Name:   "default", Seed: 1, Length: Span(30 * time.Second),
		Gateways: Gateways{Count: 3, Halls: 2, Pushes: 4},
		Servers: Servers{
			Count: 12, Cores: 2, Queue: 40, Speed: [2]float64{0.9, 1.1}, Cell: 6, Connections: 1200,
			Idle: Span(30 * time.Second), Handshake: Span(time.Millisecond), ColdFrom: 0.25,
			WarmAfter: Span(12 * time.Second), Stop: "queued",
		},
		Load: Load{Rate: 150, Units: 2, Spread: [2]float64{0.5, 1}},
		Clients: Clients{
			Retries: 2, Backoff: Span(80 * time.Millisecond), Honour: 0.7, Marks: true,
			Notice: Span(2 * time.Second),
		},
		Counter: Counter{
			Rate: 1000, Queue: Span(20 * time.Millisecond), Takes: Span(time.Millisecond),
			Limit: Span(30 * time.Millisecond),
		},
		Discovery: Discovery{Lag: [2]Span{Span(300 * time.Millisecond), Span(1500 * time.Millisecond)}},
		Network: Network{
			Same: Span(200 * time.Microsecond), Cross: Span(2 * time.Millisecond), Jitter: 0.2,
			Connect: Span(250 * time.Millisecond),
		},
		Rules: Rules{
			DrainGrace: Span(time.Second), AnswerSlack: Span(8 * time.Millisecond), FallMultiple: 2,
			TipAfter: Span(1500 * time.Millisecond), Fall: Span(1500 * time.Millisecond),
		},
	}
}

// lanesUsual and plansUsual stand where a file has none.
func lanesUsual() []Lane {
	ms := func(n int) Span { return Span(time.Duration(n) * time.Millisecond) }
	return []Lane{
		{
			Name: "availability", Share: 0.5, Work: ms(60), Spread: "exponential", SoftLimit: ms(600),
			Patience: ms(2500), Gain: 1, Effect: "pure",
		},
		{
			Name: "desk-hold", Share: 0.3, Work: ms(50), Spread: "exponential", SoftLimit: ms(400), Patience: ms(1500), Gain: 3,
			Effect: "receipted", Group: "cell", Window: ms(1000),
		},
		{
			Name: "paid-confirm", Share: 0.2, Work: ms(60), Spread: "lognormal", CV: 1,
			SoftLimit: ms(500), Patience: ms(1200), Gain: 3, Effect: "effectful",
		},
	}
}

func plansUsual() []Plan {
	return []Plan{
		{Name: "start", Share: 0.3, Customers: 100, Rate: 2, Burst: 12, Price: 0.6, OverCost: 1},
		{
			Name: "office", Share: 0.3, Customers: 20, Rate: 14, Burst: 30, CeilingRate: 30, CeilingBurst: 60,
			CeilingSlack: 6, Price: 1.3, OverCost: 1.2,
		},
		{Name: "enterprise", Share: 0.4, Customers: 8, Rate: 40, Burst: 80, Price: 1.6, OverCost: 0.6},
	}
}
