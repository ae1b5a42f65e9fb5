package subset

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand"
	"testing"
	"time"

	"harrierhoist/policy"
)

// drawnFleet is a list drawn from a seed: halls and cells of any size, servers of all stages.
func drawnFleet(seed int64) (list []Candidate, zones int) {
	chance := rand.New(rand.NewSource(seed))
	zones = 2 + chance.Intn(3)
	for i := range 80 + chance.Intn(80) {
		stage := policy.Ready
		switch chance.Intn(12) {
		case 0:
			stage = policy.Draining
		case 1:
			stage = policy.Removed
		}
		zone := chance.Intn(zones)
		list = append(list, Candidate{HashName(fmt.Sprintf("s-%d-%d", seed, chance.Int63())), policy.Endpoint{Server: uint32(i), State: stage,
			Capacity: 0.5 + chance.Float64(), Zone: zone, Rack: zone + zones*chance.Intn(7)}})
	}
	return list, zones
}

// record writes a part, with how many share it and what the pool says of its rate, in a form that no name of a field is in.
func record(to io.Writer, what string, now time.Duration, selected []policy.Endpoint, sharers float64, s *Subset) {
	_, _ = fmt.Fprintln(to, what, now, len(selected), sharers, s.AttemptRate(now))
	for _, s := range selected {
		_, _ = fmt.Fprintln(to, s.Server, s.State, s.Capacity, s.StartedAt, s.Rack, s.Zone, s.Hardware, s.Owner, s.Elective)
	}
}

// playedFleet has some gateways of a drawn fleet push, steer, elect, resize and lose servers, and gives the hash of all
// that they choose.
func playedFleet(seed int64) string {
	sum := sha256.New()
	chance := rand.New(rand.NewSource(seed + 1))
	list, zones := drawnFleet(seed)
	for me := range 24 {
		keepAlive := 15 * time.Second
		if me%11 == 10 {
			keepAlive = 0
		}
		s := New(me, 24, keepAlive)
		now := time.Hour
		lay := func(what string) []policy.Endpoint {
			selected, sharers := s.Select(now, list)
			record(sum, what, now, selected, sharers, s)
			return selected
		}
		elect := func(selected []policy.Endpoint) {
			owners := make([]int, zones)
			for zone := range owners {
				owners[zone] = chance.Intn(3)
			}
			fraction := chance.Float64()
			record(sum, "elect", now, s.AddElective(now, selected, list, owners, fraction), fraction, s)
		}
		shed := func() {
			for range 50 {
				_, _ = fmt.Fprint(sum, s.ShouldShed())
			}
		}
		elect(lay("first"))
		every := time.Duration(5+chance.Intn(200)) * time.Millisecond
		for range 400 {
			now += every
			s.CountAttempt(now)
			if s.IsDue(now) {
				lay("due")
			}
		}
		elect(lay("pushed"))
		weights := make([]float64, zones+chance.Intn(2))
		for zone := range weights {
			weights[zone] = max(chance.Float64()*1.3-0.3, 0)
		}
		for _, w := range [][]float64{weights, weights, make([]float64, zones), nil} {
			_, _ = fmt.Fprintln(sum, s.SetWeights(w, chance.Float64()*1.5-0.25))
			elect(lay("steered"))
			shed()
			for range 25 { // other gateways take the odd servers
				now += time.Second
				if s.IsDue(now) {
					lay("turn")
				}
			}
			shed()
		}
		s.Resize((me+5)%30, 30)
		lay("resized")
		list[chance.Intn(len(list))].State = policy.Removed
		elect(lay("lost"))
	}
	return fmt.Sprintf("%x", sum.Sum(nil))
}

func TestGolden_drawnFleetsChooseTheSameServersAsBefore(t *testing.T) {
	for seed, want := range map[int64]string{
		11: "cdb8607f275a8cc394dd5d461ac5f1694b00c933606cb1e9270e1107922c069b",
		12: "84b2002c52d43231d5b9fbb361ae5813abc81995323dd5ed543c9f2404f20317",
	} {
		if got := playedFleet(seed); got != want {
			t.Errorf("seed %d: %s, want %s", seed, got, want)
		}
	}
}
