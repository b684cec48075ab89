package railmodelengine

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railenginestate"
	"github.com/fulmarrail/fulmarrail/internal/rollout/raillayers"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railloadorder"
)

// corruptionTolerance is the time for which a piece may have been corrupt when it is loaded.
const corruptionTolerance = 3 * time.Second

// Engine is a stand-in for an engine. It is safe for concurrent use; its exported fields must be set before its first use.
type Engine struct {
	// Layers and Pieces are the numbers of layers and pieces of the model, and PieceBytes is the size of a piece.
	Layers, Pieces, PieceBytes int
	// PutTime, ReadTime and LoadTime are the times that it takes to stage a piece, to read one and to load all layers.
	PutTime, ReadTime, LoadTime time.Duration
	// LoadsWholeModels makes the engine load all layers at each order, whatever layers that is for.
	LoadsWholeModels bool
	// BeforePut is called before a piece is staged, with its index and its data. It may block. It may be nil.
	BeforePut func(index int, data []byte)
	// OnPut is called after a piece was staged, with the number of pieces staged so far. OnOrder is called before an order is accepted;
	// the order's answer is lost if it returns true. OnComplete is called when the engine begins to hold all layers, with what was wrong with
	// the pieces that they were loaded from. They may be nil.
	OnPut      func(count int)
	OnOrder    func(o railloadorder.Order) (lost bool)
	OnComplete func(version int64, faults []string)

	mu          sync.Mutex
	staged      map[int]piece
	puts        int
	held        raillayers.Range
	heldVersion int64
	// faults holds what was wrong with the pieces of each layer when it was loaded.
	faults   map[int]string
	busy     bool
	sequence int64
	starts   int64
	orders   []railloadorder.Order
}

// piece is a staged piece. corruptSince is when it became corrupt, or zero.
type piece struct {
	data         []byte
	corruptSince time.Time
}

// Content returns the content of a piece of a version.
func (e *Engine) Content(version int64, index int) []byte {
	line := fmt.Sprintf("version %d piece %d ", version, index)
	return bytes.Repeat([]byte(line), e.PieceBytes/len(line)+1)[:e.PieceBytes]
}

// PutPiece stages a piece.
func (e *Engine) PutPiece(ctx context.Context, _ string, index int, data []byte) error {
	if err := wait(ctx, e.PutTime); err != nil {
		return err
	}
	if e.BeforePut != nil {
		e.BeforePut(index, data)
	}
	e.mu.Lock()
	if e.staged == nil {
		e.staged = map[int]piece{}
	}
	e.staged[index] = piece{data: bytes.Clone(data)}
	e.puts++
	count := e.puts
	e.mu.Unlock()
	if e.OnPut != nil {
		e.OnPut(count)
	}
	return nil
}

// Piece returns a staged piece.
func (e *Engine) Piece(ctx context.Context, _ string, index int) ([]byte, error) {
	if err := wait(ctx, e.ReadTime); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.staged[index]
	if !ok {
		return nil, errors.Newf("piece %d is not staged", index)
	}
	return p.data, nil
}

// StagedPieces returns the indexes of the staged pieces.
func (e *Engine) StagedPieces(context.Context, string) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var indexes []int
	for i := range e.staged {
		indexes = append(indexes, i)
	}
	return indexes, nil
}

// State returns the engine's state.
func (e *Engine) State(context.Context) (railenginestate.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := railenginestate.State{Held: e.held, HeldVersion: e.heldVersion, Busy: e.busy, Sequence: e.sequence, StartMillis: e.starts}
	if e.held == (raillayers.Range{End: e.Layers}) {
		s.Version = e.heldVersion
	}
	return s, nil
}

// StartLoad accepts an order and loads the layers that it lacks from the staged pieces.
func (e *Engine) StartLoad(ctx context.Context, o railloadorder.Order) error {
	lost := e.OnOrder != nil && e.OnOrder(o)
	if err := e.accept(o); err != nil {
		return err
	}
	if lost {
		return errors.New("the answer to the order was lost")
	}
	return ctx.Err()
}

func (e *Engine) accept(o railloadorder.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy || o.Sequence != e.sequence {
		return errors.Mark(errors.Newf("sequence is %d, and the order expects %d", e.sequence, o.Sequence), railloadorder.ErrRejected)
	}
	layers := o.Layers
	if layers == (raillayers.Range{}) || e.LoadsWholeModels {
		layers = raillayers.Range{End: e.Layers}
	}
	if o.Version == e.heldVersion && layers == e.held && !e.LoadsWholeModels {
		return nil
	}
	e.sequence++
	e.orders = append(e.orders, o)
	e.load(o.Version, layers)
	return nil
}

// load makes the engine hold layers of a version. The lock is held.
func (e *Engine) load(version int64, layers raillayers.Range) {
	kept := raillayers.Range{}
	if version == e.heldVersion && !e.LoadsWholeModels {
		kept = raillayers.Range{From: max(layers.From, e.held.From), End: min(layers.End, e.held.End)}
	}
	faults := map[int]string{}
	missing := 0
	for layer := layers.From; layer < layers.End; layer++ {
		if kept.From <= layer && layer < kept.End {
			faults[layer] = e.faults[layer]
			continue
		}
		faults[layer] = e.fault(version, layer)
		missing++
	}
	e.faults = faults
	if missing == 0 {
		e.held = layers
		return
	}
	e.busy = true
	if kept.From >= kept.End {
		e.held, e.heldVersion = raillayers.Range{}, 0
	}
	starts := e.starts
	time.AfterFunc(e.LoadTime*time.Duration(missing)/time.Duration(e.Layers), func() {
		e.mu.Lock()
		current := e.starts == starts
		if current {
			e.busy, e.held, e.heldVersion = false, layers, version
		}
		e.mu.Unlock()
		if complete, faults := e.Serving(); current && complete > 0 && e.OnComplete != nil {
			e.OnComplete(complete, faults)
		}
	})
}

// fault returns what is wrong with the pieces of a layer now, or an empty string. The lock is held.
func (e *Engine) fault(version int64, layer int) string {
	first, end := raillayers.Range{From: layer, End: layer + 1}.Pieces(e.Layers, e.Pieces)
	for i := first; i < end; i++ {
		p, ok := e.staged[i]
		name := "piece " + strconv.Itoa(i)
		switch age := time.Since(p.corruptSince); {
		case !ok:
			return name + " is missing"
		case !p.corruptSince.IsZero() && age > corruptionTolerance:
			return fmt.Sprintf("%s has been corrupt for %s", name, age)
		case p.corruptSince.IsZero() && !bytes.Equal(p.data, e.Content(version, i)):
			return name + " is of another version"
		}
	}
	return ""
}

// Corrupt makes staged pieces corrupt, unless they are corrupt already.
func (e *Engine) Corrupt(indexes ...int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, i := range indexes {
		p, ok := e.staged[i]
		if !ok || !p.corruptSince.IsZero() {
			continue
		}
		data := bytes.Clone(p.data)
		data[len(data)/2] ^= 0xff
		e.staged[i] = piece{data: data, corruptSince: time.Now()}
	}
}

// Restart makes the engine lose all layers, and its staged pieces too if keepStaged is false.
func (e *Engine) Restart(keepStaged bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.sequence, e.busy, e.held, e.heldVersion, e.faults = 0, false, raillayers.Range{}, 0, nil
	if !keepStaged {
		e.staged = nil
	}
}

// LoseStaged makes the engine lose its staged pieces.
func (e *Engine) LoseStaged() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged = nil
}

// Serve makes the engine hold all layers of a version, with its pieces staged.
func (e *Engine) Serve(version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged = map[int]piece{}
	for i := range e.Pieces {
		e.staged[i] = piece{data: e.Content(version, i)}
	}
	e.held, e.heldVersion = raillayers.Range{End: e.Layers}, version
}

// Serving returns the version of which the engine holds all layers, or 0, and what was wrong with the pieces that it was loaded from.
func (e *Engine) Serving() (version int64, faults []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held != (raillayers.Range{End: e.Layers}) || e.heldVersion == 0 {
		return 0, nil
	}
	for layer := range e.Layers {
		if fault := e.faults[layer]; fault != "" {
			faults = append(faults, fault)
		}
	}
	return e.heldVersion, faults
}

// Orders returns the accepted orders that began something.
func (e *Engine) Orders() []railloadorder.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// wait waits for d, or until ctx is done.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
