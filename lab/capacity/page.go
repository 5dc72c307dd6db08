package capacity

import (
	"fmt"
	"io"
	"strings"
)

// WritePage writes the capacity page in Markdown: the design size, the requirements
// of each role, and the measured costs.
func WritePage(w io.Writer, seed uint64, costs []CostSeries) error {
	p := &pageWriter{}
	p.writeLine("# Cost of the cores at the size to design for")
	p.writeLine("")
	p.writeLine("Written by `make capacity` (`briarcross-lab capacity -seed %d`); do not edit. Processor times", seed)
	p.writeLine("are those of the machine that ran it, garbage collection included, with Go on one processor.")
	p.writeLine("Bytes include headers: %d B a message on a stream, %d B a datagram.", streamOverhead, datagramOverhead)
	p.writeLine("")
	p.writeSizes()
	p.writeRequirements(Requirements(costs))
	p.writeDailyFaults(linesByName(costs))
	p.writeShortfalls(Requirements(costs))
	p.writeSlopes(costs)
	_, err := io.WriteString(w, p.text.String())
	return err
}

type pageWriter struct{ text strings.Builder }

func (p *pageWriter) writeLine(format string, args ...any) {
	_, _ = fmt.Fprintf(&p.text, format+"\n", args...)
}

func (p *pageWriter) writeSizes() {
	p.writeLine("## Size and limits")
	p.writeLine("")
	p.writeLine("Given: %d daemons before %d engines, %d requests and %d tokens a second, %d items a day in", Daemons, Engines, RequestsPerSecond, TokensPerSecond, ItemsPerDay)
	p.writeLine("%d jobs of up to %d, %d customers, %d models, %d regions with %d data centres, %d changes a day.", JobsPerDay, LargestJobItems, Customers, Models, Regions, DataCentres, ChangesPerDay)
	p.writeLine("A daemon may spend on control %.1f%% of a core, %d MiB and %d KiB a second; %d VMs may be set aside.", 100*LimitCPUCores, LimitMemoryBytes>>20, LimitBytesPerSecond>>10, ControlVMs)
	p.writeLine("")
	p.writeLine("Assumed: %d sidecars, each before the four engines of its VM, %d entries and %d control replicas;", Sidecars, Entries, ControlVMs)
	p.writeLine("%d documents (a service and a profile for each customer); jobs live for %d h; mean rates of the day.", Documents, JobLifetimeHours)
	p.writeLine("A peak of ten times the mean multiplies the parts that depend on changes and items by ten.")
	p.writeLine("")
}

func (p *pageWriter) writeRequirements(requirements []Requirement) {
	p.writeLine("## What each role needs")
	p.writeLine("")
	p.writeLine("| role | what | value | limit | fits | worked out from | mechanism |")
	p.writeLine("|---|---|---:|---:|---|---|---|")
	for _, requirement := range requirements {
		p.writeLine("| %s | %s | %s | %s | %s | %s | %s |", requirement.Role, requirement.Quantity, formatValue(requirement.Value, requirement.Unit), limitCell(requirement), fitsCell(requirement), requirement.Basis, requirement.Mechanism)
	}
	p.writeLine("")
	p.writeLine("Memory counts the tables of the cores. The Go runtime, buffers and connections of a daemon come on top;")
	p.writeLine("its resident memory is in the metric `process_resident_memory_bytes`.")
	p.writeLine("")
}

func limitCell(requirement Requirement) string {
	if requirement.Limit == 0 {
		return "none"
	}
	return formatValue(requirement.Limit, requirement.Unit)
}

func fitsCell(requirement Requirement) string {
	if requirement.Limit == 0 {
		return ""
	}
	if requirement.WithinLimit() {
		return "yes"
	}
	return "**no**"
}

func formatValue(value float64, unit string) string {
	switch unit {
	case "core":
		return fmt.Sprintf("%.3f%% of a core", 100*value)
	case "B", "B/s":
		return formatBytes(value, unit)
	}
	return fmt.Sprintf("%.3g %s", value, unit)
}

func formatBytes(value float64, unit string) string {
	const bytesPerKiB = 1 << 10
	switch {
	case value >= bytesPerKiB*bytesPerKiB:
		return fmt.Sprintf("%.1f Mi%s", value/bytesPerKiB/bytesPerKiB, unit)
	case value >= bytesPerKiB:
		return fmt.Sprintf("%.1f Ki%s", value/bytesPerKiB, unit)
	}
	return fmt.Sprintf("%.0f %s", value, unit)
}

func (p *pageWriter) writeDailyFaults(lines fittedLines) {
	snapshotBytes := lines[SnapshotBytes].At(Documents)
	daemonsPerDataCentre := float64(Daemons) / DataCentres
	p.writeLine("## Daily faults")
	p.writeLine("")
	p.writeLine("| fault | what it costs |")
	p.writeLine("|---|---|")
	p.writeLine("| %d VMs lost a day | One every %.0f s. A lost sidecar is dropped by its registrars after 3 s of silence; the change is one entry in the deltas of %d registrars to %d entries. Control VMs are %.1f%% of the daemons, so two replicas a day are replaced by spares, one at a time. |",
		LostVMsPerDay, float64(secondsPerDay)/LostVMsPerDay, RegistrarsPerMember, Entries, 100*float64(ControlVMs)/Daemons)
	p.writeLine("| %d restarts a day | One every %.0f s. Each fetches a snapshot of %s from a replica: %s on average over the day. |",
		RestartsPerDay, float64(secondsPerDay)/RestartsPerDay, formatValue(snapshotBytes, "B"), formatValue(snapshotBytes*RestartsPerDay/secondsPerDay, "B/s"))
	p.writeLine("| a rack or switch a week, %d VMs | Their registrars expire them together; on return they fetch %s in all. |",
		VMsPerRack, formatValue(snapshotBytes*VMsPerRack, "B"))
	p.writeLine("| a data centre every other month, %.0f daemons | The group keeps its majority, as voters stand in different data centres. On return the daemons fetch %s in all; the attempts are spread by a random backoff of up to 2 s, which is %s for that time. |",
		daemonsPerDataCentre, formatValue(daemonsPerDataCentre*snapshotBytes, "B"), formatValue(daemonsPerDataCentre*snapshotBytes/2, "B/s"))
	p.writeLine("| regions lose each other for minutes | A side without a majority of the one group confirms no configuration. Its daemons report not ready when the lease of %d s has lapsed, so its entries refuse new requests until the cut heals. |", LeaseSeconds)
	p.writeLine("")
}

func (p *pageWriter) writeShortfalls(requirements []Requirement) {
	p.writeLine("## What does not fit yet")
	p.writeLine("")
	for _, requirement := range requirements {
		if !requirement.WithinLimit() {
			p.writeLine("- **%s, %s**: %s against %s. %s.", requirement.Role, requirement.Quantity, formatValue(requirement.Value, requirement.Unit), formatValue(requirement.Limit, requirement.Unit), capitalise(requirement.Remedy))
		}
	}
	p.writeLine("- **Region cuts**: with one group over all regions a cut-off region stops serving after %d s. Groups for each", LeaseSeconds)
	p.writeLine("  region, with the configuration group's changes carried between them, would keep it serving its last revision.")
	if LeaseSeconds > LimitActivationSeconds {
		p.writeLine("- **In force within %d s**: a connected daemon gets a change at once, but one that is cut off goes on with the old", LimitActivationSeconds)
		p.writeLine("  revision until its lease of %d s lapses. The lease has to be below %d s at this size.", LeaseSeconds, LimitActivationSeconds)
	}
	p.writeLine("- **Four engines for each sidecar**: a sidecar stands before one engine today; %d engines would need %d sidecars.", Engines, Engines)
	p.writeLine("- **Not measured here**: resident memory of whole daemons, TLS, the relay of tokens (see `make bench`), and peaks")
	p.writeLine("  within the day.")
	p.writeLine("")
}

func capitalise(text string) string {
	if text == "" {
		return text
	}
	return strings.ToUpper(text[:1]) + text[1:]
}

func (p *pageWriter) writeSlopes(costs []CostSeries) {
	p.writeLine("## Measured slopes")
	p.writeLine("")
	p.writeLine("Each line is fitted by least squares through the points; the residual is the root mean square deviation as a")
	p.writeLine("share of the mean. A slope whose residual is large next to a small slope says that the cost does not grow.")
	p.writeLine("")
	p.writeLine("| cost | unit | by | at sizes | measured | intercept | slope | residual |")
	p.writeLine("|---|---|---|---|---|---:|---:|---:|")
	for _, s := range costs {
		p.writeLine("| %s | %s | %s | %s | %s | %.4g | %.4g | %.1f%% |", s.Name, s.YUnit, s.XUnit,
			joinNumbers(s.X), joinNumbers(s.Y), s.Fit.Intercept, s.Fit.Slope, 100*s.Fit.Residual)
	}
}

func joinNumbers(values []float64) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = fmt.Sprintf("%.4g", v)
	}
	return strings.Join(texts, ", ")
}
