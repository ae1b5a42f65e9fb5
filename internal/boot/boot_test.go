package boot

import "testing"

func TestPairs(t *testing.T) {
	p, err := ParsePairs("A.Ms=2.5\nB=true\nC=x,y\nE=\nUnheardOf=1\n")
	if err != nil {
		t.Fatal(err)
	}
	if p.Number("A.Ms") != 2.5 || !p.Flag("B") || len(p.List("C")) != 2 || p.List("E") != nil || p.Int("none") != 0 {
		t.Errorf("read wrongly: %+v", p)
	}
	if p.Need("D"); p.Err() == nil || p.Err().Error() != "settings: D is missing" {
		t.Errorf("got %v", p.Err())
	}
	if q, _ := ParsePairs("C=x"); q.Number("C") != 0 || q.Err() == nil {
		t.Error("a number that is none was taken")
	}
	if q, _ := ParsePairs("C=x"); q.Flag("C") || q.Choice("C", "z") != 0 || q.Err() == nil {
		t.Error("a flag and a choice that are none were taken")
	}
	if _, err := ParsePairs("nonsense"); err == nil {
		t.Error("a line without '=' was taken")
	}
}
