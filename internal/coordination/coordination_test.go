package coordination

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// changingClient is a client whose tables change when a test says so.
type changingClient struct {
	Client
	change chan struct{}
}

func (c *changingClient) Changed() <-chan struct{} { return c.change }

func (c *changingClient) setChanged() {
	changed := c.change
	c.change = make(chan struct{})
	close(changed)
}

func TestFollowTables_updatesAtOnceAtChangesAndAtIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		client := &changingClient{change: make(chan struct{})}
		var updates atomic.Int32
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			FollowTables(ctx, client, time.Second, func() {
				if updates.Add(1) == 2 {
					client.setChanged() // while it is updated
				}
			})
		}()
		want := func(when string, n int32) {
			t.Helper()
			synctest.Wait()
			if got := updates.Load(); got != n {
				t.Errorf("%d updates %s, want %d", got, when, n)
			}
		}
		want("at the start", 1)
		client.setChanged()
		want("after a change, and one during its update", 3)
		time.Sleep(999 * time.Millisecond)
		want("before the interval", 3)
		time.Sleep(time.Millisecond)
		want("at the interval", 4)
		stop()
		<-ended
		time.Sleep(5 * time.Second)
		want("after the end", 4)
	})
}
