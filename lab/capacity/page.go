package capacity

import (
	"fmt"
	"io"
	"strings"
)

// WritePage writes the capacity page.
func WritePage(w io.Writer, seed uint64, slopes []CostSeries) error {
	p := &page{}
	p.line("# Capacity at the size to design for")
	p.line("")
	p.line("Written by `make capacity` (`briarcross-lab capacity -seed %d`); do not edit. Processor times", seed)
	p.line("are those of the machine that ran it, garbage collection included, with Go on one processor.")
	p.line("Bytes include headers: %d B a message on a stream, %d B a datagram.", streamOverhead, datagramOverhead)
	p.line("")
	p.sizes()
	p.needs(Requirements(slopes))
	p.faults(byName(slopes))
	p.shortfalls(Requirements(slopes))
	p.slopes(slopes)
	_, err := io.WriteString(w, p.text.String())
	return err
}

type page struct{ text strings.Builder }

func (p *page) line(format string, values ...any) {
	_, _ = fmt.Fprintf(&p.text, format+"\n", values...)
}

func (p *page) sizes() {
	p.line("## Size and limits")
	p.line("")
	p.line("Given: %d daemons before %d engines, %d requests and %d tokens a second, %d items a day in", Daemons, Engines, RequestsPerSecond, TokensPerSecond, ItemsPerDay)
	p.line("%d jobs of up to %d, %d customers, %d models, %d regions with %d data centres, %d changes a day.", JobsPerDay, LargestJobItems, Customers, Models, Regions, DataCentres, ChangesPerDay)
	p.line("A daemon may spend on control %.1f%% of a core, %d MiB and %d KiB a second; %d VMs may be set aside.", 100*LimitCPUCores, LimitMemoryBytes>>20, LimitBytesPerSecond>>10, ControlVMs)
	p.line("")
	p.line("Assumed: %d sidecars, each before the four engines of its VM, %d entries and %d control replicas;", Sidecars, Entries, ControlVMs)
	p.line("%d documents (a service and a profile for each customer); jobs live for %d h; mean rates of the day.", Documents, JobLifetimeHours)
	p.line("A peak of ten times the mean multiplies the parts that depend on changes and items by ten.")
	p.line("")
}

func (p *page) needs(needs []Requirement) {
	p.line("## What each role needs")
	p.line("")
	p.line("| role | what | value | limit | fits | worked out from | mechanism |")
	p.line("|---|---|---:|---:|---|---|---|")
	for _, n := range needs {
		p.line("| %s | %s | %s | %s | %s | %s | %s |", n.Role, n.Quantity, format(n.Value, n.Unit), limit(n), verdict(n), n.Formula, n.Mechanism)
	}
	p.line("")
	p.line("Memory counts the tables of the cores. The Go runtime, buffers and connections of a daemon come on top;")
	p.line("its resident memory is in the metric `process_resident_memory_bytes`.")
	p.line("")
}

func limit(n Requirement) string {
	if n.Limit == 0 {
		return "none"
	}
	return format(n.Limit, n.Unit)
}

func verdict(n Requirement) string {
	if n.Limit == 0 {
		return ""
	}
	if n.WithinLimit() {
		return "yes"
	}
	return "**no**"
}

func format(value float64, unit string) string {
	switch unit {
	case "core":
		return fmt.Sprintf("%.3f%% of a core", 100*value)
	case "B", "B/s":
		return formatBytes(value, unit)
	}
	return fmt.Sprintf("%.3g %s", value, unit)
}

func formatBytes(value float64, unit string) string {
	const kibi = 1 << 10
	switch {
	case value >= kibi*kibi:
		return fmt.Sprintf("%.1f Mi%s", value/kibi/kibi, unit)
	case value >= kibi:
		return fmt.Sprintf("%.1f Ki%s", value/kibi, unit)
	}
	return fmt.Sprintf("%.0f %s", value, unit)
}

func (p *page) faults(f fits) {
	snapshot := f[SnapshotBytes].At(Documents)
	centre := float64(Daemons) / DataCentres
	p.line("## Daily faults")
	p.line("")
	p.line("| fault | what it costs |")
	p.line("|---|---|")
	p.line("| %d VMs lost a day | One every %.0f s. A lost sidecar is dropped by its registrars after 3 s of silence; the change is one entry in the deltas of %d registrars to %d entries. Control VMs are %.1f%% of the daemons, so two replicas a day are replaced by spares, one at a time. |",
		LostVMsPerDay, float64(secondsDay)/LostVMsPerDay, RegistrarsPerMember, Entries, 100*float64(ControlVMs)/Daemons)
	p.line("| %d restarts a day | One every %.0f s. Each fetches a snapshot of %s from a replica: %s on average over the day. |",
		RestartsPerDay, float64(secondsDay)/RestartsPerDay, format(snapshot, "B"), format(snapshot*RestartsPerDay/secondsDay, "B/s"))
	p.line("| a rack or switch a week, %d VMs | Their registrars expire them together; on return they fetch %s in all. |",
		VMsPerRack, format(snapshot*VMsPerRack, "B"))
	p.line("| a data centre every other month, %.0f daemons | The group keeps its majority, as voters stand in different data centres. On return the daemons fetch %s in all; the attempts are spread by a random backoff of up to 2 s, which is %s for that time. |",
		centre, format(centre*snapshot, "B"), format(centre*snapshot/2, "B/s"))
	p.line("| regions lose each other for minutes | A side without a majority of the one group confirms no configuration. Its daemons report not ready when the lease of %d s has lapsed, so its entries refuse new requests until the cut heals. |", LeaseSeconds)
	p.line("")
}

func (p *page) shortfalls(needs []Requirement) {
	p.line("## What does not fit yet")
	p.line("")
	for _, n := range needs {
		if !n.WithinLimit() {
			p.line("- **%s, %s**: %s against %s. %s.", n.Role, n.Quantity, format(n.Value, n.Unit), format(n.Limit, n.Unit), capitalise(n.Remedy))
		}
	}
	p.line("- **Region cuts**: with one group over all regions a cut-off region stops serving after %d s. Groups for each", LeaseSeconds)
	p.line("  region, with the configuration group's changes carried between them, would keep it serving its last revision.")
	if LeaseSeconds > LimitActivationSeconds {
		p.line("- **In force within %d s**: a connected daemon gets a change at once, but one that is cut off goes on with the old", LimitActivationSeconds)
		p.line("  revision until its lease of %d s lapses. The lease has to be below %d s at this size.", LeaseSeconds, LimitActivationSeconds)
	}
	p.line("- **Four engines for each sidecar**: a sidecar stands before one engine today; %d engines would need %d sidecars.", Engines, Engines)
	p.line("- **Not measured here**: resident memory of whole daemons, TLS, the relay of tokens (see `make bench`), and peaks")
	p.line("  within the day.")
	p.line("")
}

func capitalise(text string) string {
	if text == "" {
		return text
	}
	return strings.ToUpper(text[:1]) + text[1:]
}

func (p *page) slopes(slopes []CostSeries) {
	p.line("## Measured slopes")
	p.line("")
	p.line("Each line is fitted by least squares through the points; the residual is the root mean square deviation as a")
	p.line("share of the mean. A slope whose residual is large next to a small slope says that the cost does not grow.")
	p.line("")
	p.line("| cost | unit | by | at sizes | measured | intercept | slope | residual |")
	p.line("|---|---|---|---|---|---:|---:|---:|")
	for _, s := range slopes {
		p.line("| %s | %s | %s | %s | %s | %.4g | %.4g | %.1f%% |", s.Name, s.YUnit, s.XUnit,
			numbers(s.X), numbers(s.Y), s.Fit.Intercept, s.Fit.Slope, 100*s.Fit.Residual)
	}
}

func numbers(values []float64) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = fmt.Sprintf("%.4g", v)
	}
	return strings.Join(texts, ", ")
}
