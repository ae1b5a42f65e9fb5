package pool

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
func drawnFleet(seed int64) (list []Server, halls int) {
	chance := rand.New(rand.NewSource(seed))
	halls = 2 + chance.Intn(3)
	for i := range 80 + chance.Intn(80) {
		stage := policy.Ready
		switch chance.Intn(12) {
		case 0:
			stage = policy.Draining
		case 1:
			stage = policy.Gone
		}
		hall := chance.Intn(halls)
		list = append(list, Server{Mark(fmt.Sprintf("s-%d-%d", seed, chance.Int63())), policy.Listed{Server: uint32(i), Stage: stage,
			Power: 0.5 + chance.Float64(), Hall: hall, Cell: hall + halls*chance.Intn(7)}})
	}
	return list, halls
}

// record writes a part, with how many share it and what the pool says of its rate, in a form that no name of a field is in.
func record(to io.Writer, what string, now time.Duration, part []policy.Listed, sharers float64, p *Pool) {
	_, _ = fmt.Fprintln(to, what, now, len(part), sharers, p.Rate(now))
	for _, s := range part {
		_, _ = fmt.Fprintln(to, s.Server, s.Stage, s.Power, s.Since, s.Cell, s.Hall, s.Kind, s.Owner, s.Elective)
	}
}

// playedFleet has some gateways of a drawn fleet push, steer, elect, resize and lose servers, and gives the hash of all
// that they choose.
func playedFleet(seed int64) string {
	sum := sha256.New()
	chance := rand.New(rand.NewSource(seed + 1))
	list, halls := drawnFleet(seed)
	for me := range 24 {
		kept := 15 * time.Second
		if me%11 == 10 {
			kept = 0
		}
		p := New(me, 24, kept)
		now := time.Hour
		lay := func(what string) []policy.Listed {
			part, sharers := p.Part(now, list)
			record(sum, what, now, part, sharers, p)
			return part
		}
		elect := func(part []policy.Listed) {
			owners := make([]int, halls)
			for hall := range owners {
				owners[hall] = chance.Intn(3)
			}
			share := chance.Float64()
			record(sum, "elect", now, p.Elect(now, part, list, owners, share), share, p)
		}
		shed := func() {
			for range 50 {
				_, _ = fmt.Fprint(sum, p.Shed())
			}
		}
		elect(lay("first"))
		every := time.Duration(5+chance.Intn(200)) * time.Millisecond
		for range 400 {
			now += every
			p.Pushed(now)
			if p.Due(now) {
				lay("due")
			}
		}
		elect(lay("pushed"))
		weights := make([]float64, halls+chance.Intn(2))
		for hall := range weights {
			weights[hall] = max(chance.Float64()*1.3-0.3, 0)
		}
		for _, w := range [][]float64{weights, weights, make([]float64, halls), nil} {
			_, _ = fmt.Fprintln(sum, p.Steer(w, chance.Float64()*1.5-0.25))
			elect(lay("steered"))
			shed()
			for range 25 { // other gateways take the odd servers
				now += time.Second
				if p.Due(now) {
					lay("turn")
				}
			}
			shed()
		}
		p.Resize((me+5)%30, 30)
		lay("resized")
		list[chance.Intn(len(list))].Stage = policy.Gone
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
