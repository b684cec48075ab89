package railbenchcmd

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/fulmarrail/fulmarrail/internal/lab/railcapacitytrial"
)

const capacityTimeout = 5 * time.Minute

func newCmdCapacity(opts *Options) *cobra.Command {
	return &cobra.Command{
		Use:     "capacity",
		Short:   "Measure what entries and agents cost against their numbers",
		Long:    "Measure processor time, memory, bytes and platform calls of idle deployments of several sizes in one process, and of requests and tokens in the smallest one.",
		Example: "  $ fulmarbench capacity --json",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return capacityRun(opts) },
	}
}

func capacityRun(opts *Options) error {
	ctx, cancel := context.WithTimeout(context.Background(), capacityTimeout)
	defer cancel()
	var samples []railcapacitytrial.Sample
	for i, size := range [][2]int{{2, 20}, {2, 60}, {2, 120}, {6, 60}, {12, 60}} {
		s, err := railcapacitytrial.Measure(ctx, size[0], size[1], i == 0)
		if err != nil {
			return err
		}
		samples = append(samples, s)
		if !opts.JSON {
			fmt.Fprintf(opts.Factory.Out, "entries %2d agents %3d: idle %.2f %% of a core, %.0f bytes/s, %.1f platform calls/s, %.1f MB, %d goroutines",
				s.Entries, s.Agents, s.IdleCPUPercent, s.IdleBytesPerSecond, s.IdleCallsPerSecond, s.MemoryMB, s.Goroutines)
			if s.RequestsPerSecond > 0 {
				fmt.Fprintf(opts.Factory.Out, "; %.0f us a request, %.1f us a token", s.CPUMicrosPerRequest, s.CPUMicrosPerToken)
			}
			fmt.Fprintln(opts.Factory.Out)
		}
	}
	if opts.JSON {
		return opts.Factory.WriteJSON(samples)
	}
	return nil
}
