package cli

import (
	"os"
	"os/signal"
	"runtime/pprof"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestspan/goldcrestspan/load"
	"github.com/goldcrestspan/goldcrestspan/observe"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	shape, faults, compare, only  string
	output, plots, profile, level string

	options load.Options
}

const compareDirect = "direct"

func newLoadCommand() *cobra.Command {
	f := &loadFlags{}
	command := &cobra.Command{
		Use:   "load",
		Short: "Run a load test with faults against entry hosts over sockets and check every answer",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := command.Flags()
	flags.StringVar(&f.shape, "shape", "plakatna", "workload: plakatna or vltava")
	flags.IntVar(&f.options.Hosts, "hosts", 7, "number of entry hosts")
	flags.Float64Var(&f.options.Utilization, "load", 0.7, "offered load as a fraction of all slots")
	flags.Float64Var(&f.options.Scale, "scale", 4, "factor for service times and deadlines; divides the arrival rate")
	flags.DurationVar(&f.options.Duration, "for", 30*time.Second, "how long to send requests")
	flags.DurationVar(&f.options.Warmup, "warmup", 3*time.Second, "initial time excluded from the statistics, not from the checks")
	flags.Uint64Var(&f.options.Seed, "seed", 1, "random seed of arrivals and service times")
	flags.StringVar(&f.faults, "faults", "none", "file with a timeline of faults, or a preset: none, slow, all")
	flags.StringVar(&f.compare, "compare", "", "direct: also run callers that call the backend servers directly")
	flags.StringVar(&f.only, "only", "", "direct: run only the direct callers")
	flags.Float64Var(&f.options.Policy.HedgeBudget, "hedge-budget", 0, "policy hedge_budget; 0: default")
	flags.StringVar(&f.output, "output", outputText, "output format: text or json")
	flags.StringVar(&f.plots, "plots", "", "write SVG plots to this directory")
	flags.StringVar(&f.profile, "cpu-profile", "", "write a CPU profile to this file")
	flags.StringVar(&f.level, "log", "error", "log level: debug, info, warn or error")
	return command
}

func (f *loadFlags) run(cmd *cobra.Command) error {
	if err := f.setOptions(cmd); err != nil {
		return err
	}
	stopProfile, err := f.startProfile()
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	report, err := load.Run(ctx, f.options)
	stopProfile()
	if report == nil {
		return err
	}
	if writeErr := f.write(cmd, report); writeErr != nil {
		return writeErr
	}
	return err
}

func (f *loadFlags) setOptions(cmd *cobra.Command) error {
	shape, err := load.ShapeByName(f.shape)
	if err != nil {
		return err
	}
	f.options.Shape = shape
	if f.options.Logger, err = observe.NewLogger(f.level, "console"); err != nil {
		return err
	}
	for name, value := range map[string]string{"compare": f.compare, "only": f.only} {
		if value != "" && value != compareDirect {
			return errors.Errorf("--%s %q: use %q", name, value, compareDirect)
		}
	}
	if !slices.Contains([]string{outputText, outputJSON}, f.output) {
		return errors.Errorf("--output %q: use %s or %s", f.output, outputText, outputJSON)
	}
	f.options.RunTier = f.only == ""
	f.options.RunDirect = f.only != "" || f.compare != ""
	f.options.Progress = cmd.ErrOrStderr()
	return f.readFaults()
}

func (f *loadFlags) readFaults() error {
	events, known := load.Preset(f.faults, f.options.Shape, f.options.Duration)
	if known {
		f.options.Events = events
		return nil
	}
	if _, err := os.Stat(f.faults); err != nil {
		return errors.Errorf("--faults %q: neither a preset (%v) nor a file", f.faults, load.PresetNames)
	}
	var err error
	f.options.Events, err = load.ReadFaults(f.faults)
	return err
}

func (f *loadFlags) startProfile() (stop func(), err error) {
	if f.profile == "" {
		return func() {}, nil
	}
	file, err := os.Create(f.profile)
	if err != nil {
		return nil, errors.Wrap(err, "--cpu-profile")
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Wrap(err, "--cpu-profile")
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

func (f *loadFlags) write(cmd *cobra.Command, report *load.Report) error {
	if f.plots != "" {
		if err := report.WritePlots(f.plots); err != nil {
			return err
		}
	}
	if f.output == outputJSON {
		return report.WriteJSON(cmd.OutOrStdout())
	}
	report.WriteText(cmd.OutOrStdout())
	return nil
}
