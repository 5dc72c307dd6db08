package config_test

import (
	"fmt"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/pb"
)

func ExampleParse() {
	_, err := config.Parse("profile.yaml", []byte("kind: Profile\nname: p\nspec:\n  class: online\n  speed: fast\n"))
	fmt.Println(err)
	// Output:
	// profile.yaml:5: field speed: the field is unknown
}

// A table does not apply an update whose base revision it has not reached.
func ExampleTable_Apply() {
	docs, err := config.Parse("batch.yaml", []byte("kind: Profile\nname: risk-brief\nspec: {class: batch, due: 8h}\n"))
	if err != nil {
		fmt.Println(err)
		return
	}
	table := config.NewTable()
	later := &pb.ConfigUpdate{Base: 1, Revision: 2}
	fmt.Println(table.Apply(later) == config.Gap)
	fmt.Println(table.Apply(&pb.ConfigUpdate{Base: 0, Revision: 1, Documents: docs}) == config.Applied)
	fmt.Println(table.Apply(later) == config.Applied)
	profile, _ := table.Profile("risk-brief")
	fmt.Println(profile.GetDueMs()/3_600_000, "hours, revision", table.Revision())
	// Output:
	// true
	// true
	// true
	// 8 hours, revision 2
}
