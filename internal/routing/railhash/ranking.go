package railhash

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Ranking orders values for a key by the rendezvous hashes of their names.
type Ranking[T any] struct {
	// Name returns the name by which a value is hashed.
	Name func(T) string
}

// Top returns the n values with the highest scores for the key, in descending order, or all values if there are fewer.
func (r Ranking[T]) Top(key string, values []T, n int) []T {
	type scored struct {
		value T
		name  string
		score uint64
	}
	entries := make([]scored, 0, len(values))
	for _, v := range values {
		name := r.Name(v)
		entries = append(entries, scored{value: v, name: name, score: Score(key, name)})
	}
	slices.SortFunc(entries, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return strings.Compare(a.name, b.name)
	})
	top := make([]T, 0, min(n, len(entries)))
	for _, s := range entries[:min(n, len(entries))] {
		top = append(top, s.value)
	}
	return top
}

// Score returns the rendezvous hash of a name for a key.
func Score(key, name string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}
