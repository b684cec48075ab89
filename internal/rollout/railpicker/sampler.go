package railpicker

import "math/rand/v2"

// minSampler picks one of the candidates with the lowest score, uniformly at random.
type minSampler struct {
	random   *rand.Rand
	pick     Pick
	minScore int
	// ties is the number of candidates seen with the lowest score.
	ties int
}

// add considers a candidate with the given score.
func (s *minSampler) add(pick Pick, score int) {
	switch {
	case s.ties > 0 && score > s.minScore:
		return
	case s.ties == 0 || score < s.minScore:
		s.pick, s.minScore, s.ties = pick, score, 1
		return
	}
	s.ties++
	if s.random.IntN(s.ties) == 0 {
		s.pick = pick
	}
}

// result returns the chosen pick, or false when there were no candidates.
func (s *minSampler) result() (Pick, bool) {
	return s.pick, s.ties > 0
}
