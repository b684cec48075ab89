package railpicker

import "math/rand/v2"

// lot draws one of the picks that go by the least number.
type lot struct {
	random *rand.Rand
	pick   Pick
	least  int
	// ties is the number of picks that go by the least number.
	ties int
}

// add takes part with a pick that goes by a number.
func (l *lot) add(pick Pick, number int) {
	switch {
	case l.ties > 0 && number > l.least:
		return
	case l.ties == 0 || number < l.least:
		l.pick, l.least, l.ties = pick, number, 1
		return
	}
	l.ties++
	if l.random.IntN(l.ties) == 0 {
		l.pick = pick
	}
}

// drawn returns the pick, or false when none has taken part.
func (l *lot) drawn() (Pick, bool) {
	return l.pick, l.ties > 0
}
