package policy

import (
	"testing"
	"time"
)

// goldenCase is a configuration of a golden test, with the expected hash for each seed.
type goldenCase struct {
	name            string
	settings        Settings
	sharingGateways float64 // argument of Gateway.SetSharingGateways
	servers         int
	owners          int        // number of owners of elective servers; 0: no elective servers
	changes         []Settings // settings to apply during the run
	seeds           [2]int64
	want            [2]string
}

func goldenSettings() Settings {
	return Settings{
		Gateways: 4, Zones: 2, GatewayZone: 1, ClockTick: 2 * ms, HasCounter: true, LateCountAfter: 30 * ms,
		MaxUnits: 4, MaxAttempts: 4, SendsRetryAfter: true, MaxRetryAfter: 3 * time.Second, DrainGrace: time.Second,
		ArrivalSlack: 8 * ms, WarmUpStart: 0.2, WarmUpTime: 10 * time.Second,
		OverloadFactor: 2, OverloadSpan: time.Second,
		Classes: []TrafficClass{
			{Name: "read", LatencyObjective: 400 * ms, Timeout: 2 * time.Second, Weight: 1, LateFraction: 0.5},
			{
				Name: "all", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 2, Effect: Keyed,
				Group: GroupAll, DedupWindow: 300 * ms,
			},
			{
				Name: "zone", LatencyObjective: 500 * ms, Timeout: 3 * time.Second, Weight: 2, Effect: Keyed,
				Group: GroupZone, DedupWindow: 600 * ms,
			},
			{
				Name: "rack", LatencyObjective: 300 * ms, Timeout: 2 * time.Second, Weight: 2, Effect: Keyed,
				Group: GroupRack, DedupWindow: 900 * ms,
			},
			{Name: "write", LatencyObjective: 600 * ms, Timeout: 2 * time.Second, Weight: 5, Effect: NonIdempotent},
			{Name: "stream", LatencyObjective: 500 * ms, Timeout: 2 * time.Second, Weight: 1, Stream: true},
			{Name: "free", LatencyObjective: 2 * time.Second, Timeout: 5 * time.Second},
		},
		Plans: []Plan{
			{Name: "wide", Rate: 300, Burst: 900, Price: 1},
			{Name: "small", Rate: 4, Burst: 10, Price: 3},
			{Name: "capped", Rate: 60, Burst: 90, CeilingRate: 20, CeilingBurst: 30, CeilingSlack: 2},
			{Name: "few", Rate: 300, Burst: 90, MaxInFlight: 3, Price: 0.5},
			{Name: "out", MaxInFlight: 4, Price: 2},
			{Name: "open"},
			{Name: "slow", Rate: 0.2, Burst: 10},
		},
	}
}

// goldenSettingsWith returns goldenSettings with a change.
func goldenSettingsWith(change func(*Settings)) Settings {
	settings := goldenSettings()
	change(&settings)
	return settings
}

// goldenReordered reorders, removes and adds classes and plans.
func goldenReordered(s *Settings) {
	fast := TrafficClass{Name: "fast", LatencyObjective: 200 * ms, Timeout: time.Second, Weight: 3}
	s.Classes = append([]TrafficClass{fast}, s.Classes[2:]...)
	s.Classes[1].LatencyObjective = 350 * ms
	s.Plans = []Plan{
		{Name: "out", MaxInFlight: 2},
		{Name: "new", Rate: 9, Burst: 12},
		{Name: "small", Rate: 8, Burst: 8},
		{Name: "wide", MaxInFlight: 3},
		{Name: "few"},
		{Name: "open", Rate: 50, Burst: 60},
	}
	s.SendsRetryAfter, s.UsageSpan, s.Gateways = false, time.Second, 3
}

// goldenWithoutCounter removes the counter and Retry-After, and allows hedging and cancellation.
func goldenWithoutCounter(s *Settings) {
	s.HasCounter, s.SendsRetryAfter, s.AllowHedging, s.CanCancel = false, false, true, true
	s.MaxAttempts, s.Gateways = 2, 1
}

var goldenCases = []goldenCase{
	{
		name: "counter", settings: goldenSettings(), sharingGateways: 4, servers: 8,
		seeds: [2]int64{1, 2},
		want: [2]string{
			"b0aced14b2d1855a1e6ba6a61eca416788b64f8672a264d9a9f4a1715cc040f3",
			"a2b60c9d310c4ec147d84934edce4b979cf44ecebef91d56dc1736fcf8df5160",
		},
	},
	{
		name: "no counter, at most two attempts", settings: goldenSettingsWith(goldenWithoutCounter),
		sharingGateways: 1, servers: 5,
		seeds: [2]int64{3, 4},
		want: [2]string{
			"d9263837fa8523a1d0d34a8bf8ab7c94ecde1f1e1621eeede398d3c1de3b62ba",
			"4ccd5900898d9d0b0db9df23e3e461964f465ef377921aeb2cce5869d934e71b",
		},
	},
	{
		name: "usage reports and actual units",
		settings: goldenSettingsWith(func(s *Settings) {
			s.Gateways, s.ReportsUnits, s.UsageSpan, s.CanCancel = 40, true, time.Second, true
		}),
		sharingGateways: 12, servers: 12, seeds: [2]int64{5, 6},
		want: [2]string{
			"55bda99c61a38580fadff7f06486c8ac66e753c1234b5b6f5193327f1b6936eb",
			"4a523d5ae0e1370002284df3b609026e93c498ac78ee0ebf9046143dacd6fc0a",
		},
	},
	{
		name: "elective servers with owners", settings: goldenSettings(), sharingGateways: 2, servers: 9, owners: 2,
		seeds: [2]int64{7, 8},
		want: [2]string{
			"b6b96f2cc57b65eb16c96736c346694817f39d96fb7e52b87bb6aaa73a17ca28",
			"693f9a8c1005860abe69288acb3414e5497cb054b7673ffb90b3946fa2862d7f",
		},
	},
	{
		name: "polled list, servers that warm up",
		settings: goldenSettingsWith(func(s *Settings) {
			s.PollList, s.MaxListAge, s.WarmUpStart, s.WarmUpTime = true, time.Second, 0.1, 20*time.Second
		}),
		sharingGateways: 4, servers: 10, seeds: [2]int64{9, 10},
		want: [2]string{
			"a65e502e820f421e2ca5ae3fb61d5bd68cefb24c21c9936ee88cc96c19b4fc0e",
			"e4ec0bd5618d741d558e37ca32df0aec9aebcce17cf16be4a8da1cd09c097ef2",
		},
	},
	{
		name: "reconfigured", settings: goldenSettings(), sharingGateways: 4, servers: 8,
		changes: []Settings{
			goldenSettingsWith(goldenReordered),
			{},
			goldenSettingsWith(goldenWithoutCounter),
			goldenSettingsWith(func(s *Settings) { s.Gateways = 0 }),
			goldenSettings(),
			goldenSettingsWith(func(s *Settings) { s.Classes, s.Plans = s.Classes[:4], s.Plans[1:] }),
			goldenSettingsWith(goldenReordered),
		},
		seeds: [2]int64{11, 12},
		want: [2]string{
			"23343c90cb67e05fc63879d4b9a7ce3bcd7a9a4e2f5b8aca09cc74e30e369887",
			"f292cf0205b623947d03990011f95c6ee43e41fc71b430334ec16f81fbec3ef7",
		},
	},
	{
		name: "many gateways",
		settings: goldenSettingsWith(func(s *Settings) {
			s.Gateways, s.CanCancel, s.MaxRetryAfter = 300, true, 0
		}),
		sharingGateways: 100, servers: 20,
		changes: []Settings{goldenSettingsWith(func(s *Settings) { s.Gateways, s.Plans[1].Burst = 200, 30 })},
		seeds:   [2]int64{13, 14},
		want: [2]string{
			"afa80733c97822e345ec3960f5e1af5eb4bca4edca89158f62166f0907c640fa",
			"e9ee5b0b664c80309d69bfa14b8a6e2fa74b54c9de2af132b58cca14a7ed2bc1",
		},
	},
}

// TestGoldenCalls checks the module's calls to its host, and their order, against recorded hashes
// for events drawn from a seed. A refactoring must not change any hash. The hashes are valid on
// every architecture: the module rounds each product before it is added.
func TestGoldenCalls(t *testing.T) {
	kinds := map[string]int{}
	for _, c := range goldenCases {
		for i, seed := range c.seeds {
			world := newGoldenWorld(t, c, seed)
			if got := world.run(); got != c.want[i] {
				t.Errorf("%s, seed %d: %s, want %s; calls: %v", c.name, seed, got, c.want[i],
					world.calls)
			}
			for kind, n := range world.calls {
				kinds[kind] += n
			}
		}
	}
	for _, kind := range []string{
		"attempt", "cancel", "reject", "terminate", "count", "watch", "timer", "stop timer", "log", "settings",
	} {
		if kinds[kind] < 10 {
			t.Errorf("%d calls of the kind %q, want 10 or more", kinds[kind], kind)
		}
	}
}
