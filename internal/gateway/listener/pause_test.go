package listener

import (
	"testing"
	"time"
)

// Guards against a drain that takes SIGTERM for sent when a process that was paused notices it.
func TestPauseDetector_earliestSignal(t *testing.T) {
	const interval = 250 * time.Millisecond
	start := time.Now()
	for _, row := range []struct {
		name     string
		ticks    []time.Duration
		noticed  time.Duration
		earliest time.Duration
	}{
		{"before the first tick", nil, 700 * time.Millisecond, 700 * time.Millisecond},
		{"between two ticks", []time.Duration{0, interval}, 400 * time.Millisecond, 400 * time.Millisecond},
		{"a tick a little late", []time.Duration{0, interval}, 540 * time.Millisecond, 540 * time.Millisecond},
		{"at the end of a pause", []time.Duration{0, interval}, time.Second, interval},
		{"after the tick at its end", []time.Duration{0, interval, time.Second}, time.Second, interval},
		{"soon after it", []time.Duration{0, time.Second}, 1090 * time.Millisecond, 0},
		{"well after it", []time.Duration{0, time.Second}, 1110 * time.Millisecond, 1110 * time.Millisecond},
		{"after the second pause", []time.Duration{0, time.Second, 3 * time.Second}, 3 * time.Second, time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := newPauseDetector(interval)
			for _, at := range row.ticks {
				p.tick(start.Add(at))
			}
			if got := p.earliestSignal(start.Add(row.noticed)).Sub(start); got != row.earliest {
				t.Errorf("sent at the earliest after %v, want %v", got, row.earliest)
			}
		})
	}
}
