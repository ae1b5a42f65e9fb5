// Package evidence is what processes saw, in a form that a lost, doubled, late or reordered message cannot falsify:
// every process sends all that it has counted since its start, and whoever takes it keeps the latest. It knows no
// sockets and no clock.
package evidence

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Digest is all that one process has counted in one life.
type Digest struct {
	Process     string `cbor:"1,keyasint"` // its name in the operator's file
	Incarnation uint64 `cbor:"2,keyasint"` // of this life; a later life has a larger one
	Serial      uint64 `cbor:"3,keyasint"` // from 1, larger with each digest of a life
	// Session grows within a life each time the process turns to another voter: what it counted before then was, or
	// was not, told to the one before.
	Session uint64 `cbor:"6,keyasint"`
	// Counts only grow within a life. They are merged on the way: voters pass on sums. A process that turns to
	// another voter loses what it counted between two digests; nothing counts twice.
	Counts map[string]uint64 `cbor:"4,keyasint"`
	// Exact only grow within a life, and are passed on process by process up to the log.
	Exact map[string]uint64 `cbor:"5,keyasint"`
}

const between = "\x1f"

// Name makes the name of a count of its parts; parts hold no unit separator (0x1f).
func Name(parts ...string) string { return strings.Join(parts, between) }

// Parts are the parts of a name.
func Parts(name string) []string { return strings.Split(name, between) }

// life is a process in one of its lives.
type life struct {
	incarnation, session, serial uint64
	counts, exact                map[string]uint64
}

// Book merges digests. The first digest of a session that a book sees is where its counting begins, as another book may
// have counted what came before; it adds what later ones have more. Not safe for use by several goroutines at once.
type Book struct {
	lives map[string]*life // the latest of each process
	past  map[string][]*life
	sums  map[string]uint64
}

// pastMost is how many earlier lives of a process are kept for what is exact in them: what the latest of these had
// counted may not be in the log yet, and its last digests may still be on their way.
const pastMost = 4

// NewBook makes an empty book.
func NewBook() *Book {
	return &Book{lives: map[string]*life{}, past: map[string][]*life{}, sums: map[string]uint64{}}
}

// Take takes a digest and tells whether it was news: a late or doubled one, or one of an earlier life, is none; what is
// exact in one of an earlier life counts all the same.
// A count that a digest has less of than an earlier one of the same life is taken as it stood.
func (b *Book) Take(d Digest) (news bool) {
	l := b.lives[d.Process]
	switch {
	case l == nil || d.Incarnation > l.incarnation:
		if l != nil {
			b.earlier(d.Process, l)
		}
		b.lives[d.Process] = &life{d.Incarnation, d.Session, d.Serial, maps.Clone(d.Counts), maps.Clone(d.Exact)}
		return true
	case d.Incarnation < l.incarnation:
		b.earlier(d.Process, &life{incarnation: d.Incarnation, serial: d.Serial, exact: maps.Clone(d.Exact)})
		return false
	case d.Serial <= l.serial || d.Session < l.session:
		return false
	}
	if d.Session > l.session {
		l.session, l.counts = d.Session, maps.Clone(d.Counts)
	}
	l.serial = d.Serial
	for name, n := range d.Counts {
		if was := l.counts[name]; n > was {
			b.sums[name] += n - was
		}
	}
	l.counts = raise(l.counts, d.Counts)
	l.exact = raise(l.exact, d.Exact)
	return true
}

// earlier keeps what is exact in an earlier life.
func (b *Book) earlier(process string, l *life) {
	past := b.past[process]
	i, found := slices.BinarySearchFunc(past, l.incarnation, func(o *life, n uint64) int { return cmp.Compare(o.incarnation, n) })
	if found {
		past[i].serial, past[i].exact = max(past[i].serial, l.serial), raise(past[i].exact, l.exact)
		return
	}
	past = slices.Insert(past, i, l)
	b.past[process] = past[max(0, len(past)-pastMost):]
}

// raise gives the larger of each count.
func raise(was, now map[string]uint64) map[string]uint64 {
	if was == nil {
		was = map[string]uint64{}
	}
	for name, n := range now {
		was[name] = max(was[name], n)
	}
	return was
}

// Sums are what was counted by all since the book began, by name. The map is the caller's.
func (b *Book) Sums() map[string]uint64 { return maps.Clone(b.sums) }

// Exact are the exact counts of each process in its latest lives, in the order of their names, earlier lives first.
func (b *Book) Exact() []Digest {
	var all []Digest
	for _, name := range slices.Sorted(maps.Keys(b.lives)) {
		for _, l := range append(slices.Clone(b.past[name]), b.lives[name]) {
			if len(l.exact) == 0 {
				continue
			}
			all = append(all, Digest{Process: name, Incarnation: l.incarnation, Serial: l.serial, Exact: maps.Clone(l.exact)})
		}
	}
	return all
}

// Forget drops a process that has not been heard of for long. A digest of the same life begins anew.
func (b *Book) Forget(process string) {
	delete(b.lives, process)
	delete(b.past, process)
}
