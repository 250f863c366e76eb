package placement

import "math/bits"

const wordBits = 64

// bitset is a set of server numbers. summary has a bit for each word that is not empty, so that an intersection skips
// empty words: one word of the summary covers 4,096 servers.
type bitset struct {
	words   []uint64
	summary []uint64
}

func (b *bitset) set(i int) {
	word := i / wordBits
	for len(b.words) <= word {
		b.words = append(b.words, 0)
	}
	for len(b.summary) <= word/wordBits {
		b.summary = append(b.summary, 0)
	}
	b.words[word] |= 1 << (i % wordBits)
	b.summary[word/wordBits] |= 1 << (word % wordBits)
}

func (b *bitset) clear(i int) {
	word := i / wordBits
	if word >= len(b.words) {
		return
	}
	b.words[word] &^= 1 << (i % wordBits)
	if b.words[word] == 0 {
		b.summary[word/wordBits] &^= 1 << (word % wordBits)
	}
}

// put adds i to the set or removes it.
func (b *bitset) put(i int, member bool) {
	if member {
		b.set(i)
	} else {
		b.clear(i)
	}
}

func (b *bitset) empty() bool {
	for _, s := range b.summary {
		if s != 0 {
			return false
		}
	}
	return true
}

// pickCommon returns a member of both sets, or -1. Within a word the search starts at bit rotation and wraps around, so
// that different rotations spread the choice over equally good servers.
func pickCommon(a, b *bitset, rotation int) int {
	for i := range min(len(a.summary), len(b.summary)) {
		for rest := a.summary[i] & b.summary[i]; rest != 0; rest &= rest - 1 {
			word := i*wordBits + bits.TrailingZeros64(rest)
			both := a.words[word] & b.words[word]
			if both != 0 {
				shifted := bits.TrailingZeros64(bits.RotateLeft64(both, -rotation))
				return word*wordBits + (shifted+rotation)%wordBits
			}
		}
	}
	return -1
}

// next returns the first member at or after i, wrapping around, or -1 if the set is empty.
func (b *bitset) next(i int) int {
	if found := b.firstFrom(i); found >= 0 {
		return found
	}
	return b.firstFrom(0)
}

// firstFrom returns the first member at or after i, or -1 if there is none.
func (b *bitset) firstFrom(i int) int {
	for word := i / wordBits; word < len(b.words); word++ {
		w := b.words[word]
		if word == i/wordBits {
			w &= ^uint64(0) << (i % wordBits)
		}
		if w != 0 {
			return word*wordBits + bits.TrailingZeros64(w)
		}
	}
	return -1
}
