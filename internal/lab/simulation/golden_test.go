package simulation

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"reflect"
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// hashOf is a hash of the values of a result in the order of its fields. Names of fields and texts
// are not part of it.
func hashOf(t *testing.T, r *Result) string {
	t.Helper()
	h := sha256.New()
	writeValue(t, h, reflect.ValueOf(*r))
	for i := range r.answerTimes {
		_, _ = fmt.Fprintln(h, r.AnswerTimes(i).TotalCount(), r.AnswerTimes(i).Mean())
	}
	return hex.EncodeToString(h.Sum(nil))[:16]
}

func writeValue(t *testing.T, writer io.Writer, value reflect.Value) {
	t.Helper()
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				writeValue(t, writer, value.Field(i))
			}
		}
	case reflect.Slice, reflect.Array:
		_, _ = fmt.Fprintln(writer, value.Len())
		for i := range value.Len() {
			writeValue(t, writer, value.Index(i))
		}
	case reflect.String: // names and wording
	case reflect.Bool:
		_, _ = fmt.Fprintln(writer, value.Bool())
	case reflect.Float64:
		_, _ = fmt.Fprintln(writer, value.Float())
	default:
		switch {
		case value.CanInt():
			_, _ = fmt.Fprintln(writer, value.Int())
		case value.CanUint():
			_, _ = fmt.Fprintln(writer, value.Uint())
		default:
			t.Fatalf("a value of kind %v in a result", value.Kind())
		}
	}
}

// busy is a scenario of three zones with a fault of most kinds.
func busy(mode string) *scenario.Scenario {
	second := func(n float64) scenario.Span { return span(time.Duration(n * float64(time.Second))) }
	spec := threeZones(mode,
		scenario.Fault{Kind: scenario.RollingDeploy, Start: second(1), Duration: second(3), Fraction: 0.5},
		scenario.Fault{
			Kind: scenario.ServerSlowdown, Start: second(2), Duration: second(4), Fraction: 0.2,
			Magnitude: 4,
		},
		scenario.Fault{
			Kind: scenario.ServerErrors, Start: second(3), Duration: second(3), Fraction: 0.1,
			Magnitude: 0.5,
		},
		zoneLossFault(0, 4*time.Second, 4*time.Second),
		scenario.Fault{Kind: scenario.LeaderLoss, Start: second(5), Duration: second(2)},
		scenario.Fault{Kind: scenario.GatewayKill, Start: second(6), Duration: second(1), Fraction: 0.3},
		scenario.Fault{Kind: scenario.ConnectionResets, Start: second(6), Duration: second(4), Fraction: 0.05},
		scenario.Fault{Kind: scenario.AnswerLoss, Start: second(7), Duration: second(2), Fraction: 0.05},
		scenario.Fault{Kind: scenario.CounterSilence, Start: second(8), Duration: second(2)},
		scenario.Fault{Kind: scenario.CounterSlowdown, Start: second(10), Duration: second(2), Magnitude: 5},
		scenario.Fault{Kind: scenario.ZoneIsolation, Start: second(9), Duration: second(2), Zone: 1},
		scenario.Fault{Kind: scenario.DiscoveryLag, Start: second(3), Duration: second(6), Magnitude: 5},
		scenario.Fault{Kind: scenario.DiscoveryLoss, Start: second(2), Duration: second(5), Fraction: 0.3},
		scenario.Fault{Kind: scenario.GatewayPause, Start: second(11), Duration: second(1), Fraction: 0.3},
		scenario.Fault{Kind: scenario.LoadBurst, Start: second(12), Duration: second(2), Magnitude: 2},
		scenario.Fault{Kind: scenario.MassReplacement, Start: second(13), Fraction: 0.4})
	return spec
}

// TestGolden holds the values of complete runs, of two seeds each, against recorded hashes. A change
// of any draw or decision shows here.
func TestGolden(t *testing.T) {
	for _, test := range []struct {
		name      string
		spec      func() *scenario.Scenario
		newPolicy baseline.Constructor
		want      [2]string
	}{
		{
			"calm", func() *scenario.Scenario { return smallScenario() }, baseline.Module,
			[2]string{"36785b5ff5a89070", "7a7ae75aa2945e2a"},
		},
		{
			"faults, each gateway alone",
			func() *scenario.Scenario { return busy(scenario.CoordinationNone) }, baseline.Module,
			[2]string{"0ca19b290633a1d5", "3d02ff8a5c9a5eb7"},
		},
		{
			"faults, decided in common",
			func() *scenario.Scenario { return busy(scenario.CoordinationShared) }, baseline.Module,
			[2]string{"5e4c086ceea8d706", "d71154050fb2b40d"},
		},
		{
			"faults, local buckets",
			func() *scenario.Scenario { return busy(scenario.CoordinationNone) }, baseline.Bucket,
			[2]string{"097dbf236b7d955a", "8a2f963745a32323"},
		},
		{
			"calm, random servers", func() *scenario.Scenario { return smallScenario() }, baseline.Random,
			[2]string{"1ab322b068477e1a", "2ed541938fbab3dd"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed, want := range test.want {
				if got := hashOf(t, mustRun(t, test.spec(), uint64(seed+1), test.newPolicy)); got != want {
					t.Errorf("seed %d: hash %s, recorded %s", seed+1, got, want)
				}
			}
		})
	}
}
