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
	requestTimeout      = 3 * time.Second
	maxParallelRequests = 64
)

// Survey holds the reports of the processes that responded.
type Survey struct {
	Entries []railentryreport.Report `json:"entries"`
	Agents  []railagentreport.Report `json:"agents"`
	// Missing lists the processes that did not respond, or whose report is not valid, as role and name.
	Missing []string `json:"missing,omitempty"`
}

// Collect requests the reports of all members, several at a time, and waits up to 3 seconds for each response.
func Collect(ctx context.Context, dialer *raildialer.Dialer, members []railmember.Member) Survey {
	var s Survey
	var mu sync.Mutex
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxParallelRequests)
	for _, m := range members {
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			content, err := fetchReport(ctx, dialer, m)
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

// Revision returns the highest configuration revision that any process reported.
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

// Behind returns the names of the processes with a revision lower than the highest one.
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

func fetchReport(ctx context.Context, dialer *raildialer.Dialer, m railmember.Member) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := dialer.Node(ctx, m.Address).Status(ctx, &railproto.StatusRequest{})
	if err != nil {
		return nil, errors.Wrapf(err, "request the status of %s", m.Name)
	}
	return reply.GetJson(), nil
}
