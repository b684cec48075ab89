package railplatform

import (
	"slices"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
)

const (
	// listRewriteDelay is the time after a restore at which the platform writes again what was lost of the VM list.
	listRewriteDelay = 2 * time.Second
	// maxReplacedObjects and maxAppliedListChanges are the numbers of changes that a restore can undo.
	maxReplacedObjects    = 4096
	maxAppliedListChanges = 4096
)

// replacedObject is an object before it was written.
type replacedObject struct {
	name    string
	content []byte
	existed bool
	at      time.Time
}

// Restore replaces the rows and objects by a copy of what they were some time ago, as far as the history of changes reaches. The weights
// are not affected. The platform writes again what was lost of the VM list.
func (p *Platform) Restore(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	now := time.Now()
	p.tables.Restore(age)
	for n := len(p.objectHistory) - 1; n >= 0 && p.objectHistory[n].at.After(now.Add(-age)); n-- {
		p.undoWrite(p.objectHistory[n])
		p.objectHistory = p.objectHistory[:n]
	}
	first := slices.IndexFunc(p.appliedListChanges, func(c listChange) bool { return c.at.After(now.Add(-age)) })
	if first < 0 {
		return
	}
	var lost []listChange
	for _, c := range p.appliedListChanges[first:] {
		lost = append(lost, listChange{at: now.Add(listRewriteDelay - p.ListLag), change: c.change})
	}
	p.appliedListChanges = p.appliedListChanges[:first]
	p.pendingListChanges = append(lost, p.pendingListChanges...)
}

// Era returns the number of times that the store was restored from an older copy.
func (p *Platform) Era() int64 {
	return p.tables.Era()
}

func (p *Platform) undoWrite(o replacedObject) {
	if o.existed {
		p.objects[o.name] = o.content
	} else {
		delete(p.objects, o.name)
	}
}

// recordReplaced records an object that is about to be written.
func (p *Platform) recordReplaced(name string) {
	content, existed := p.objects[name]
	p.objectHistory = append(p.objectHistory, replacedObject{name: name, content: content, existed: existed, at: time.Now()})
	if excess := len(p.objectHistory) - maxReplacedObjects; excess > 0 {
		p.objectHistory = slices.Clone(p.objectHistory[excess:])
	}
}

// recordApplied records a change of the VM list that has become visible.
func (p *Platform) recordApplied(c railtable.Change) {
	p.appliedListChanges = append(p.appliedListChanges, listChange{at: time.Now(), change: c})
	if excess := len(p.appliedListChanges) - maxAppliedListChanges; excess > 0 {
		p.appliedListChanges = slices.Clone(p.appliedListChanges[excess:])
	}
}
