package diff

import (
	"context"
	"strings"

	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/cranberryward/cranberryward/cranberryward/sheet/check"
	"github.com/cranberryward/cranberryward/cranberryward/sheet/show"
	"github.com/integrii/flaggy"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	factory *commander.Factory
	file    string
	asJSON  bool
}

// Difference is a row that only one of the two sheets has, with the sign - if it is in force and + if it is in the file.
type Difference struct {
	Sign string   `json:"sign"`
	Row  []string `json:"row"`
}

// New returns the diff command.
func New(factory *commander.Factory) *commander.Command {
	options := &Options{
		factory: factory,
	}
	return commander.NewCommand("diff", "Compare a sheet with the one in force", "cranberryward sheet diff examples/parlamigo.csv",
		func(subcommand *flaggy.Subcommand) {
			subcommand.AddPositionalValue(&options.file, "FILE", 1, true, "The sheet as CSV, - for standard input")
			subcommand.Bool(&options.asJSON, "", "json", "Print the differences as JSON")
		},
		options.run)
}

func (options *Options) run(ctx context.Context) error {
	sheet, err := check.ReadSheet(options.factory.Streams(), options.file)
	if err != nil {
		return err
	}
	client, err := options.factory.AdminClient()
	if err != nil {
		return err
	}
	configuration, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	differences := diffRows(show.Rows(configuration.Sheet), show.Rows(sheet))
	if options.asJSON {
		return options.factory.Streams().JSON(differences)
	}
	rows := [][]string{}
	for _, difference := range differences {
		rows = append(rows, append([]string{difference.Sign}, difference.Row...))
	}
	options.factory.Streams().Table(append([]string{" "}, show.Header()...), rows)
	return nil
}

func diffRows(before, after [][]string) []Difference {
	differences := []Difference{}
	contains := func(rows [][]string, wanted []string) bool {
		for _, row := range rows {
			if strings.Join(row, "\x00") == strings.Join(wanted, "\x00") {
				return true
			}
		}
		return false
	}
	for _, row := range before {
		if !contains(after, row) {
			differences = append(differences, Difference{
				Sign: "-",
				Row:  row,
			})
		}
	}
	for _, row := range after {
		if !contains(before, row) {
			differences = append(differences, Difference{
				Sign: "+",
				Row:  row,
			})
		}
	}
	return differences
}
