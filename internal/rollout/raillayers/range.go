package raillayers

// Range is the half-open range [From, End) of a model's layers. The zero value has no layers.
type Range struct {
	From, End int
}

// Contains reports whether all layers of another range are in this one.
func (r Range) Contains(other Range) bool {
	return r.From <= other.From && other.End <= r.End
}

// Pieces returns the half-open range of the pieces that the layers need, of a model with the given numbers of layers and pieces. Layers
// may share a piece.
func (r Range) Pieces(layers, pieces int) (first, end int) {
	return r.From * pieces / layers, (r.End*pieces + layers - 1) / layers
}
