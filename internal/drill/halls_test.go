package drill

import (
	"testing"
	"time"

	"harrierhoist/internal/standin"
)

// stay is the least between the first step home and the last: two seconds by the terms, less what the looks take.
const stay = 1700 * time.Millisecond

// 1. A hall's servers die at once. Its tasks go to the hall of its region that has room, none to the other region; when
// it is back they come home by steps.
func TestHallLostWhole(t *testing.T) {
	s := begin(t)
	s.lose("hall-a", "hall-b")
	s.share("hall-b", "hall-b", near, 1)
	s.Become("hall-a", Well)
	s.share("hall-a", "hall-a", 0.3, 0.9)
	first := time.Now()
	s.share("hall-a", "hall-a", near, 1)
	t.Logf("%v from the first step to the last", time.Since(first))
	if took := time.Since(first); took < stay {
		t.Errorf("all came home %v after the first step", took)
	}
	s.never("hall-a", "hall-c", s.began)
	s.over()
}

// 2. Half of a hall's servers die. It keeps what the others bear, and only the rest moves.
func TestHallAtHalfStrength(t *testing.T) {
	s := begin(t)
	n := 0
	for _, server := range s.Servers {
		if server.Hall == "hall-a" && n < 3 {
			must(t, server.Become(Dead))
			n++
		}
	}
	s.share("hall-a", "hall-a", 0.3, 0.7) // 80 of 160 units
	s.share("hall-a", "hall-b", 0.3, 0.7)
	s.share("hall-b", "hall-b", near, 1)
	s.never("hall-a", "hall-c", s.began)
	s.over()
}

// 3. No gateway of a hall reaches any voter, while clients reach them: they serve near, and the hall is not held to be
// lost. Another hall's loss is answered, with that one as receiver.
func TestHallCutOffFromVotersNotFromClients(t *testing.T) {
	s := begin(t)
	b := []string{"hall-b-g0", "hall-b-g1"}
	s.Apart(b...)
	for _, g := range s.In("hall-b") {
		s.says(g.Process, "no plan in force", 2) // the first was before there was a plan
	}
	s.share("hall-b", "hall-b", near, 1)
	s.lose("hall-a", "hall-b")
	s.share("hall-b", "hall-b", near, 1)
	s.share("hall-c", "hall-c", near, 1)
	s.Heal()
	for _, g := range s.In("hall-b") {
		s.says(g.Process, "a plan is in force", 2)
		if n := g.Log.Count("its lease is over"); n != 1 {
			t.Errorf("%s said %d times that its lease is over", g.Name, n)
		}
	}
	s.never("hall-b", "hall-c", s.began)
	s.never("hall-a", "hall-c", s.began)
	s.over()
}

// 6. A hall, its voter and its gateways are cut off from all others, and its servers die. The minority keeps its last
// plan while its lease stands, then pushes elsewhere no more than the plan had set apart for that.
func TestMinorityWithADeadHallOfItsOwn(t *testing.T) {
	s := begin(t)
	apart := []string{"hall-c-g0", "hall-c-g1", "v3"}
	others := []string{"hall-a-g0", "hall-a-g1", "hall-b-g0", "hall-b-g1", "v1", "v2"}
	s.Between(apart, []string{"v1", "v2"}, cut)
	s.Between(others, []string{"v3"}, cut)
	s.Become("hall-c", Dead)
	for _, g := range s.In("hall-c") {
		s.says(g.Process, "no plan in force", 2)
	}
	from := time.Now()
	standin.Eventually(t, "tasks of hall-c in other halls", func() bool {
		f := s.Ledger.Flow(from)
		return f[[2]string{"hall-c", "hall-a"}]+f[[2]string{"hall-c", "hall-b"}] >= few
	})
	for _, hall := range []string{"hall-a", "hall-b"} {
		s.share(hall, hall, near, 1)
	}
	s.Heal()
	for _, g := range s.In("hall-c") {
		s.says(g.Process, "hall-c is lost", 1)
	}
	s.never("hall-c", "hall-c", time.Now().Add(-time.Second))
	s.over()
}

// 9. Both halls of a region die while the counter answers nothing. The other region takes what it bears beside its own,
// and no more.
func TestRegionLostWhileTheCounterIsDown(t *testing.T) {
	s := begin(t)
	letGo := s.Counter.Hold()
	s.Become("hall-a", Dead)
	s.Become("hall-b", Dead)
	s.share("hall-a", "hall-c", 0.9, 1) // of those that are pushed at all
	s.share("hall-b", "hall-c", 0.9, 1)
	s.served("hall-c", "hall-c", most)
	s.served("hall-a", "hall-c", 0.2) // half fits
	s.served("hall-b", "hall-c", 0.2)
	s.share("hall-c", "hall-c", near, 1)
	letGo()
	s.over()
}

// 10. One gateway reaches no server of a hall that all others reach. Its word moves nothing.
func TestOneGatewayThatSeesFailuresNobodyElseSees(t *testing.T) {
	s := begin(t)
	blind := s.Gateways[0]
	epoch := s.Read("failover").Epoch
	s.blind(blind, "hall-a")
	s.says(blind.Process, "a server is set aside", 4)
	from := time.Now()
	standin.Eventually(t, "three seconds and more tasks", func() bool {
		return time.Since(from) > 3*time.Second && s.Ledger.Flow(from)[[2]string{"hall-a", "hall-a"}] > few
	})
	if e := s.Read("failover").Epoch; e != epoch {
		t.Errorf("the plan went from %d to %d", epoch, e)
	}
	s.share("hall-b", "hall-b", near, 1)
	s.Become("hall-c", Dead) // a loss that others see is acted on
	s.share("hall-c", "hall-c", 0, 1-away)
	for _, g := range s.In("hall-c") {
		s.says(g.Process, "hall-c is lost", 1)
	}
	s.over()
}
