package canary

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/countingrule"
)

// newController is a decider of drawn terms; several of them, one after the other, lead.
func newController(config *countingrule.Config, origin time.Duration) *Controller {
	return &Controller{Config: func() *countingrule.Config { return config }, Lease: 2 * time.Second, ReadWait: time.Second, ClockOrigin: origin}
}

// Whatever evidence comes, whoever leads and whatever the file says meanwhile: a step never changes at once what holds,
// names no edge that some process may not hear of in time, takes nothing back before its edge, and tries nothing that
// was refused. The same events give the same value.
func TestController_switchesNeverTakeEffectAtOnce(t *testing.T) {
	activated, rolledBack := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		config := &countingrule.Config{DesiredVersion: 1, Rules: []countingrule.Rule{scaledLimits(1), scaledLimits(2)}, Canary: canaryConfig()}
		config.Rules[1].Version = 2
		c, twin := newController(config, time.Hour), newController(config, time.Hour)
		now, since, entry, sums := time.Minute, time.Duration(0), statemachine.Table{}, map[string]uint64{}
		harmUnits := rapid.SampledFrom([]uint64{0, 0, 900}).Draw(t, "harm")
		for range rapid.IntRange(60, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms")) * time.Millisecond
			previous, err := countingrule.Decode(entry.Value)
			if err != nil {
				t.Fatal(err)
			}
			switch rapid.IntRange(0, 80).Draw(t, "what") {
			case 0: // another leads, by another monotonic clock
				shift := time.Duration(rapid.IntRange(0, 100).Draw(t, "shift")) * time.Minute
				c, twin = newController(config, c.ClockOrigin+now-shift), newController(config, c.ClockOrigin+now-shift)
				now, since, sums = shift, shift, map[string]uint64{}
			case 1:
				config.DesiredVersion = rapid.Uint64Range(0, 2).Draw(t, "try")
			}
			if (previous.Phase == countingrule.PhaseScheduled) == (harmUnits == 0) && rapid.IntRange(0, 20).Draw(t, "turn") == 0 {
				harmUnits = rapid.SampledFrom([]uint64{0, 0, 900}).Draw(t, "harm")
			}
			for i := range Buckets {
				sums[bucketName(Fingerprint(previous.Seed), i, nameRequested)] += 1000
				sums[bucketName(Fingerprint(previous.Seed), i, nameOldOnly)] += harmUnits
			}
			for v := range uint64(3) {
				prefix := fmt.Sprintf("canary\x1f%s\x1freal\x1f%d\x1f", Fingerprint(previous.Seed), v)
				sums[prefix+nameRequested] += 300_000
				sums[prefix+nameAdmitted] += 300_000 - 200*harmUnits
			}
			seen := coordination.ControllerInput{Sums: maps.Clone(sums), LeadingSince: since, Table: func(string) statemachine.Table { return entry }}
			value, write := c.Decide(now, seen)
			encodedAgain, writeAgain := twin.Decide(now, seen)
			if write != writeAgain || !bytes.Equal(value, encodedAgain) {
				t.Fatal("the same events, another value")
			}
			if !write {
				continue
			}
			next, _ := countingrule.Decode(value)
			at := c.ClockOrigin + now
			if previous.InForce(at) != next.InForce(at) {
				t.Fatalf("%d holds, and at once %d: %+v to %+v", previous.InForce(at), next.InForce(at), previous, next)
			}
			if moved := next.Phase >= countingrule.PhaseScheduled && next.SwitchAt != previous.SwitchAt; moved && next.SwitchAt < at+4*time.Second {
				t.Fatalf("edge %v only ahead", next.SwitchAt-at)
			} else if moved && previous.Phase >= countingrule.PhaseScheduled && at < previous.SwitchAt {
				t.Fatal("taken back before its edge")
			}
			if next.Phase == countingrule.PhaseCanary && slices.Contains(previous.Refused, next.To) {
				t.Fatalf("%d was refused, and is tried again", next.To)
			}
			if next.Phase == countingrule.PhaseScheduled && previous.Phase == countingrule.PhaseCanary {
				activated++
			}
			if next.Phase == countingrule.PhaseRollback && len(next.Refused) > len(previous.Refused) {
				rolledBack++
			}
			entry = statemachine.Table{Epoch: entry.Epoch + 1, Value: value}
		}
	})
	t.Logf("%d activations, %d undone", activated, rolledBack)
	if activated == 0 {
		t.Error("nothing was ever activated")
	}
}
