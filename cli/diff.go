package cli

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/operator"
	"github.com/briarcross/briarcross/pb"
)

func (a *app) diffCommand() *ffcli.Command {
	return a.fileCommand("diff", "Shows what apply would change, without changing it.",
		func(c *operator.Client, _ *operatorFlags, file string, text []byte) error {
			return a.diff(c, file, text)
		})
}

func (a *app) diff(c *operator.Client, file string, text []byte) error {
	change, _, err := c.Plan(file, text, "")
	if err != nil {
		return err
	}
	if len(change.GetOps()) == 0 {
		_, err := fmt.Fprintln(a.stdout, "no differences")
		return err
	}
	for _, op := range change.GetOps() {
		response, err := c.Documents(config.Key(op.GetPut()))
		if err != nil {
			return err
		}
		if err := a.printDiff(response.GetDocuments(), op.GetPut()); err != nil {
			return err
		}
	}
	return &exitError{ExitDifferent, fmt.Errorf("%d documents differ", len(change.GetOps()))}
}

// printDiff prints the lines that differ between the current document, if any,
// and the submitted one.
func (a *app) printDiff(current []*pb.Document, submitted *pb.Document) error {
	before, err := formatWithoutRevisions(current...)
	if err != nil {
		return err
	}
	after, err := formatWithoutRevisions(submitted)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(a.stdout, "--- %s in force\n+++ %s wanted\n", config.Key(submitted), config.Key(submitted))
	for _, line := range diffLines(before, after) {
		_, _ = fmt.Fprintln(a.stdout, line)
	}
	return nil
}

// formatWithoutRevisions formats documents without their revisions.
func formatWithoutRevisions(documents ...*pb.Document) ([]string, error) {
	if len(documents) == 0 {
		return nil, nil
	}
	plain := make([]*pb.Document, len(documents))
	for i, document := range documents {
		plain[i] = &pb.Document{Body: document.GetBody()}
	}
	text, err := config.Format(plain)
	if err != nil {
		return nil, err
	}
	return strings.Split(string(bytes.TrimRight(text, "\n")), "\n"), nil
}

// diffLines returns the line diff of two texts: lines in both have the prefix
// " ", lines only in before "-", and lines only in after "+".
func diffLines(before, after []string) []string {
	common := commonLengths(before, after)
	var lines []string
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case i < len(before) && j < len(after) && before[i] == after[j]:
			lines = append(lines, " "+before[i])
			i++
			j++
		case j == len(after) || (i < len(before) && common[i+1][j] >= common[i][j+1]):
			lines = append(lines, "-"+before[i])
			i++
		default:
			lines = append(lines, "+"+after[j])
			j++
		}
	}
	return lines
}

// commonLengths returns, at [i][j], the length of the longest common
// subsequence of before[i:] and after[j:].
func commonLengths(before, after []string) [][]int {
	lengths := make([][]int, len(before)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(after)+1)
	}
	for i := len(before) - 1; i >= 0; i-- {
		for j := len(after) - 1; j >= 0; j-- {
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			if before[i] == after[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			}
		}
	}
	return lengths
}
