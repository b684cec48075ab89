package railsurvey

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/report/railagentreport"
	"github.com/fulmarrail/fulmarrail/internal/report/railentryreport"
	"github.com/fulmarrail/fulmarrail/internal/wire/raildialer"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

const (
	askTimeout = 3 * time.Second
	parallel   = 64
)

// Survey holds the reports of the processes that answered.
type Survey struct {
	Entries []railentryreport.Report `json:"entries"`
	Agents  []railagentreport.Report `json:"agents"`
	// Missing holds the names of the processes that did not answer, with the role before them.
	Missing []string `json:"missing,omitempty"`
}

// Collect requests the reports of all members concurrently, with a timeout for each.
func Collect(ctx context.Context, dialer *raildialer.Dialer, members []railmember.Member) Survey {
	var s Survey
	var mu sync.Mutex
	var wg sync.WaitGroup
	turn := make(chan struct{}, parallel)
	for _, m := range members {
		wg.Go(func() {
			turn <- struct{}{}
			defer func() { <-turn }()
			content, err := ask(ctx, dialer, m)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = s.add(m, content)
			}
			if err != nil {
				s.Missing = append(s.Missing, m.Role+" "+m.Name)
			}
		})
	}
	wg.Wait()
	slices.SortFunc(s.Entries, func(a, b railentryreport.Report) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Agents, func(a, b railagentreport.Report) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(s.Missing)
	return s
}

// Revision returns the highest revision of any process.
func (s Survey) Revision() uint64 {
	highest := uint64(0)
	for _, e := range s.Entries {
		highest = max(highest, e.Revision)
	}
	for _, a := range s.Agents {
		highest = max(highest, a.Revision)
	}
	return highest
}

// Behind returns the names of the processes whose revision is not the highest.
func (s Survey) Behind() []string {
	highest := s.Revision()
	var names []string
	for _, e := range s.Entries {
		if e.Revision < highest {
			names = append(names, e.Name)
		}
	}
	for _, a := range s.Agents {
		if a.Revision < highest {
			names = append(names, a.Name)
		}
	}
	return names
}

func (s *Survey) add(m railmember.Member, content []byte) error {
	if m.Role == railmember.RoleEntry {
		var r railentryreport.Report
		if err := json.Unmarshal(content, &r); err != nil {
			return errors.Wrap(err, "decode an entry's report")
		}
		s.Entries = append(s.Entries, r)
		return nil
	}
	var r railagentreport.Report
	if err := json.Unmarshal(content, &r); err != nil {
		return errors.Wrap(err, "decode an agent's report")
	}
	s.Agents = append(s.Agents, r)
	return nil
}

func ask(ctx context.Context, dialer *raildialer.Dialer, m railmember.Member) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := dialer.Node(ctx, m.Address).Status(ctx, &railproto.StatusRequest{})
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s", m.Name)
	}
	return reply.GetJson(), nil
}
