package canary

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
)

// eventGenerator draws a controller's input: observations, new leaders and new configurations.
type eventGenerator struct {
	config                *countingrule.Config
	controller, duplicate *Controller // both get the same events
	now, leadingSince     time.Duration
	entry                 statemachine.Table
	sums                  map[string]uint64
	oldOnlyUnits          uint64 // of the 1000 units of a bucket, admitted only by the old rule
}

func newEventGenerator(t *rapid.T) *eventGenerator {
	config := configFor(ruleWithScaledLimits(1))
	second := ruleWithScaledLimits(2)
	second.Version = 2
	config.Rules = append(config.Rules, second)
	g := &eventGenerator{config: config, now: time.Minute, sums: map[string]uint64{}}
	g.startLeadership(time.Hour)
	g.drawOldOnlyUnits(t)
	return g
}

// startLeadership replaces the controllers by those of a new leader with another clock origin.
func (g *eventGenerator) startLeadership(origin time.Duration) {
	g.controller, g.duplicate = newController(g.config, origin), newController(g.config, origin)
}

// drawOldOnlyUnits draws whether the observations that follow are those of a harmful rule.
func (g *eventGenerator) drawOldOnlyUnits(t *rapid.T) {
	g.oldOnlyUnits = rapid.SampledFrom([]uint64{0, 0, 900}).Draw(t, "oldOnlyUnits")
}

// commonClock returns the time on the common clock.
func (g *eventGenerator) commonClock() time.Duration { return g.controller.ClockOrigin + g.now }

// advance draws the next event and adds observations of the canary in the given table.
func (g *eventGenerator) advance(t *rapid.T, table *countingrule.Table) {
	g.now += time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms")) * time.Millisecond
	switch rapid.IntRange(0, 80).Draw(t, "event") {
	case 0:
		shift := time.Duration(rapid.IntRange(0, 100).Draw(t, "shift")) * time.Minute
		g.startLeadership(g.commonClock() - shift)
		g.now, g.leadingSince, g.sums = shift, shift, map[string]uint64{}
	case 1:
		g.config.DesiredVersion = rapid.Uint64Range(0, 2).Draw(t, "try")
	}
	isScheduled := table.Phase == countingrule.PhaseScheduled
	if isScheduled == (g.oldOnlyUnits == 0) && rapid.IntRange(0, 20).Draw(t, "change") == 0 {
		g.drawOldOnlyUnits(t)
	}
	fingerprint := Fingerprint(table.SampleSeed)
	for i := range BucketCount {
		g.sums[bucketName(fingerprint, i, nameRequested)] += 1000
		g.sums[bucketName(fingerprint, i, nameOldOnly)] += g.oldOnlyUnits
	}
	for version := range uint64(3) {
		prefix := fmt.Sprintf("canary\x1f%s\x1freal\x1f%d\x1f", fingerprint, version)
		g.sums[prefix+nameRequested] += 300_000
		g.sums[prefix+nameAdmitted] += 300_000 - 200*g.oldOnlyUnits
	}
}

// decide calls both controllers and fails the test if their decisions differ. It returns the next
// table and whether one was written.
func (g *eventGenerator) decide(t *rapid.T) (next countingrule.Table, write bool) {
	input := coordination.ControllerInput{
		Sums: maps.Clone(g.sums), LeadingSince: g.leadingSince,
		Table: func(string) statemachine.Table { return g.entry },
	}
	value, write := g.controller.Decide(g.now, input)
	again, writeAgain := g.duplicate.Decide(g.now, input)
	if write != writeAgain || !bytes.Equal(value, again) {
		t.Fatal("two controllers with the same input made different decisions")
	}
	if write {
		g.entry = statemachine.Table{Epoch: g.entry.Epoch + 1, Value: value}
	}
	return decodeTable(t, value), write
}

func decodeTable(t *rapid.T, value []byte) countingrule.Table {
	table, err := countingrule.Decode(value)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// checkStep fails the test if the step from one table to the next breaks an invariant.
func checkStep(t *rapid.T, previous, next *countingrule.Table, now time.Duration) {
	if previous.InForce(now) != next.InForce(now) {
		t.Fatalf("the version in force changed immediately from %d to %d: %+v to %+v",
			previous.InForce(now), next.InForce(now), previous, next)
	}
	if next.Phase >= countingrule.PhaseScheduled && next.SwitchAt != previous.SwitchAt {
		if next.SwitchAt < now+4*time.Second {
			t.Fatalf("the switch is only %v ahead", next.SwitchAt-now)
		}
		if previous.Phase >= countingrule.PhaseScheduled && now < previous.SwitchAt {
			t.Fatal("a switch was undone before it took effect")
		}
	}
	if next.Phase == countingrule.PhaseCanary && slices.Contains(previous.RefusedVersions, next.ToVersion) {
		t.Fatalf("refused version %d is tried again", next.ToVersion)
	}
}

// For any sequence of observations, leaders and configurations, no step changes the version in
// force immediately, schedules a switch too soon for all processes to learn of it, undoes a switch
// before it takes effect, or tries a refused version. The same input must lead to the same
// decision.
func TestController_versionInForceNeverChangesImmediately(t *testing.T) {
	activated, rolledBack := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		g := newEventGenerator(t)
		for range rapid.IntRange(60, 150).Draw(t, "steps") {
			previous := decodeTable(t, g.entry.Value)
			g.advance(t, &previous)
			next, write := g.decide(t)
			if !write {
				continue
			}
			checkStep(t, &previous, &next, g.commonClock())
			if next.Phase == countingrule.PhaseScheduled && previous.Phase == countingrule.PhaseCanary {
				activated++
			}
			if next.Phase == countingrule.PhaseRollback && len(next.RefusedVersions) > len(previous.RefusedVersions) {
				rolledBack++
			}
		}
	})
	t.Logf("%d switches scheduled, %d rolled back after a deviation", activated, rolledBack)
	if activated == 0 {
		t.Error("no switch was scheduled in any run")
	}
}
