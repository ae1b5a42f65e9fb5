package host

import (
	"encoding/hex"
	"fmt"
	"testing"
)

// A golden run takes some ten thousand events through the adapter's loop, and its replies hash to
// what the code answered when this test was written: the decisions and their order, the random
// draws, the timers and the bytes of the frames, all in one. Only the wording of log lines stays
// out of the hash. The adapter takes no new settings while it runs (it has no signal for that, and
// the frames no event): a gateway that is stopped starts again with others here.
//
// The hashes hold for amd64, where Go fuses no multiplication with an addition.

// goldenSettings are the settings of a run, and what its simulated back end does with them.
type goldenSettings struct {
	name            string
	lines           string
	after           string // lines of a gateway that is started again
	zones, gateways int
	classes, plans  int
	hashes          [2]string // by seed, 1 and 2
}

const goldenCommon = `TickMs=5
Rules.DrainGraceMs=900
Rules.ColdFrom=0.2
Rules.WarmAfterMs=4000
Rules.FallMultiple=2.5
Rules.TipAfterMs=1200
Rules.AnswerSlackMs=8
Report.Fields=inflight,util
`

var goldenRuns = []goldenSettings{
	{
		name: "counter, one zone, two classes, three plans", zones: 1, gateways: 3, classes: 2, plans: 3,
		lines: goldenCommon + `Balancers=3
MyZone=0
Dcs=a
FamilyInfo.HasCounter=true
FamilyInfo.CountLimitMs=30
FamilyInfo.Settles=true
FamilyInfo.MostUnits=50
PolicyLimits.TryLimit=4
PolicyLimits.Cancelling=true
PolicyLimits.RetryAfter=true
PolicyLimits.MaxRetryAfterMs=2000
RequestClasses.count=2
RequestClasses.0.Name=query
RequestClasses.0.AimMs=300
RequestClasses.0.DeadlineMs=1500
RequestClasses.0.Worth=1
RequestClasses.0.LateShare=0.3
RequestClasses.0.Effect=read_like
RequestClasses.1.Name=payment
RequestClasses.1.AimMs=600
RequestClasses.1.DeadlineMs=2500
RequestClasses.1.Worth=5
RequestClasses.1.Effect=non_idempotent
TiersOfService.count=3
TiersOfService.0.Name=free
TiersOfService.0.UnitsPerS=15
TiersOfService.0.PeakUnits=20
TiersOfService.1.Name=pro
TiersOfService.1.UnitsPerS=60
TiersOfService.1.PeakUnits=240
TiersOfService.1.Pays=2
TiersOfService.1.BeyondEarns=0.2
TiersOfService.1.OverCost=0.5
TiersOfService.2.Name=open
`,
		after: "TiersOfService.1.UnitsPerS=25\nTiersOfService.1.PeakUnits=75\n",
		hashes: [2]string{
			"a0f16bbbed44411ae19721421810e9db5cd7c937ea38049921b708403fa74bcc",
			"94c346f1abc948d214209f0e4d49cd0ef8e5cc913ad278b80eaf17aaf78a9abd",
		},
	},
	{
		name: "no counter, two zones, keys, discovery by asking", zones: 2, gateways: 2, classes: 3, plans: 2,
		lines: goldenCommon + `Balancers=2
MyZone=1
Dcs=a,b
Discovery=ask
Rules.MustAskInMs=3000
PolicyLimits.TryLimit=3
PolicyLimits.RetryAfter=true
PolicyLimits.MaxRetryAfterMs=500
RequestClasses.count=3
RequestClasses.0.Name=store
RequestClasses.0.AimMs=400
RequestClasses.0.DeadlineMs=2000
RequestClasses.0.Worth=2
RequestClasses.0.Effect=idempotency_key
RequestClasses.0.Group=zone
RequestClasses.0.WindowMs=700
RequestClasses.1.Name=book
RequestClasses.1.AimMs=250
RequestClasses.1.DeadlineMs=1200
RequestClasses.1.Worth=1
RequestClasses.1.Effect=idempotency_key
RequestClasses.1.Group=cell
RequestClasses.1.WindowMs=1500
RequestClasses.2.Name=watch
RequestClasses.2.AimMs=500
RequestClasses.2.DeadlineMs=1800
RequestClasses.2.Worth=3
RequestClasses.2.LateShare=0.5
RequestClasses.2.Effect=read_like
RequestClasses.2.Stream=true
TiersOfService.count=2
TiersOfService.0.Name=small
TiersOfService.0.UnitsPerS=20
TiersOfService.0.PeakUnits=30
TiersOfService.1.Name=large
TiersOfService.1.UnitsPerS=80
TiersOfService.1.PeakUnits=300
`,
		after: "PolicyLimits.TryLimit=2\nRequestClasses.0.WindowMs=200\n",
		hashes: [2]string{
			"4d4edae8757c1be0703a263958d7d8bb3bea010be45d7b40311d45ca84d31855",
			"0705e83df1ca1b18f42f13bab7a21b8cfc6e99058190ad7edd8d7b227530c58c",
		},
	},
	{
		name:     "limits on attempts in flight, ceilings, usage reported, hedging",
		zones:    2,
		gateways: 4,
		classes:  3,
		plans:    3,
		lines: goldenCommon + `Balancers=4
MyZone=0
Dcs=a,b
FamilyInfo.HasCounter=true
FamilyInfo.CountLimitMs=20
FamilyInfo.Settles=true
FamilyInfo.MeterMs=2000
FamilyInfo.InboxPerS=50
PolicyLimits.TryLimit=5
PolicyLimits.Peers=true
PolicyLimits.Probes=true
PolicyLimits.Cancelling=true
PolicyLimits.SecondCopies=true
PolicyLimits.RetryAfter=true
PolicyLimits.MaxRetryAfterMs=1000
RequestClasses.count=3
RequestClasses.0.Name=search
RequestClasses.0.AimMs=200
RequestClasses.0.DeadlineMs=1000
RequestClasses.0.Worth=1
RequestClasses.0.Effect=read_like
RequestClasses.1.Name=order
RequestClasses.1.AimMs=500
RequestClasses.1.DeadlineMs=2200
RequestClasses.1.Worth=4
RequestClasses.1.Effect=idempotency_key
RequestClasses.1.Group=all
RequestClasses.1.WindowMs=5000
RequestClasses.2.Name=transfer
RequestClasses.2.AimMs=400
RequestClasses.2.DeadlineMs=1600
RequestClasses.2.Worth=2
RequestClasses.2.Effect=non_idempotent
TiersOfService.count=3
TiersOfService.0.Name=free
TiersOfService.0.UnitsPerS=20
TiersOfService.0.PeakUnits=24
TiersOfService.0.Concurrency=2
TiersOfService.1.Name=pro
TiersOfService.1.Concurrency=6
TiersOfService.2.Name=fleet
TiersOfService.2.UnitsPerS=90
TiersOfService.2.PeakUnits=120
TiersOfService.2.CeilingRate=120
TiersOfService.2.CapDepth=90
TiersOfService.2.CeilingSlack=0.1
TiersOfService.2.Pays=3
`,
		after: "TiersOfService.0.Concurrency=1\nPolicyLimits.SecondCopies=false\n",
		hashes: [2]string{
			"5d5d33e170fbb3b8bf8a333a3e0a98d0c1e993447f8d446d141839a1aff6de7d",
			"5976249f4c6ebd7fc5acd5ab4994343322ef0573aa71921c2e745aa4d71f6977",
		},
	},
}

// settingsOf gives a gateway's lines; those of after come last and hold.
func (s *goldenSettings) settingsOf(gateway uint32, restarted bool) string {
	lines := s.lines + fmt.Sprintf("Me=%d\n", gateway)
	if restarted {
		lines += s.after
	}
	return lines
}

func TestRun_goldenReplies(t *testing.T) {
	for _, settings := range goldenRuns {
		for i, want := range settings.hashes {
			seed := int64(i + 1)
			t.Run(fmt.Sprintf("%s, seed %d", settings.name, seed), func(t *testing.T) {
				t.Parallel()
				s := newSimulator(t, settings, seed)
				if err := Run(s, s); err != nil {
					t.Fatal(err)
				}
				if got := hex.EncodeToString(s.digest.Sum(nil)); got != want {
					t.Errorf(
						"replies hash to %s, want %s (events by code %v, actions by code %v)",
						got,
						want,
						s.events,
						s.actions,
					)
				}
				s.checkCoverage()
			})
		}
	}
}
