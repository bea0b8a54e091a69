package loader

import (
	"fmt"
	"io"
	"net"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

const (
	environmentPrefix = "CRANBERRYWARD_"
	hiddenValue       = "(hidden)"
)

type setting struct {
	name         string
	usage        string
	unit         string
	defaultValue string
	value        string
	source       string
	secret       bool
	set          func(value string) (expected string)
}

// Loader declares and reads the settings of one program.
type Loader struct {
	program        string
	description    string
	version        string
	settings       []*setting
	printRequested bool
}

// New returns a loader for a program with a one-line description.
func New(program, description, version string) *Loader {
	return &Loader{
		program:     program,
		description: description,
		version:     version,
	}
}

// ValidationError is an invalid value of a setting.
type ValidationError struct {
	name     string
	value    string
	expected string
	source   string
}

// Error returns the validation error on one line.
func (validationError ValidationError) Error() string {
	return fmt.Sprintf("setting %s: expected %s, found %q (from %s)", validationError.name, validationError.expected, validationError.value, validationError.source)
}

// ValidationErrors are all validation errors of a program's settings.
type ValidationErrors []ValidationError

// Error returns the validation errors, one per line.
func (validationErrors ValidationErrors) Error() string {
	lines := make([]string, len(validationErrors))
	for i, validationError := range validationErrors {
		lines[i] = validationError.Error()
	}
	return strings.Join(lines, "\n")
}

func (loader *Loader) add(name, unit, defaultValue, usage string, set func(string) string) *setting {
	added := &setting{
		name:         name,
		usage:        usage,
		unit:         unit,
		defaultValue: defaultValue,
		set:          set,
	}
	loader.settings = append(loader.settings, added)
	return added
}

// Text adds a setting that may be any text.
func (loader *Loader) Text(target *string, name, defaultValue, usage string) {
	loader.add(name, "text", defaultValue, usage, func(value string) string {
		*target = value
		return ""
	})
}

// Required adds a setting that must not be empty.
func (loader *Loader) Required(target *string, name, usage string) {
	loader.add(name, "text", "", usage, func(value string) string {
		*target = value
		if value == "" {
			return "a value"
		}
		return ""
	})
}

// Secret adds a setting that must not be empty and whose value is never printed.
func (loader *Loader) Secret(target *string, name, usage string) {
	loader.Required(target, name, usage)
	loader.settings[len(loader.settings)-1].secret = true
}

// Address adds a setting that is an IP address with a port.
func (loader *Loader) Address(target *string, name, defaultValue, usage string) {
	loader.add(name, "IP:port", defaultValue, usage, func(value string) string {
		*target = value
		host, port, err := net.SplitHostPort(value)
		number, portErr := strconv.Atoi(port)
		if err != nil || net.ParseIP(host) == nil || portErr != nil || number < 0 || number > 65535 {
			return "an IP address with a port, such as 127.0.0.1:8080"
		}
		return ""
	})
}

// Duration adds a setting that is a duration with a unit, between two bounds.
func (loader *Loader) Duration(target *time.Duration, name string, defaultValue, minimum, maximum time.Duration, usage string) {
	loader.add(name, "duration", defaultValue.String(), usage, func(value string) string {
		parsed, err := time.ParseDuration(value)
		*target = parsed
		if err != nil || parsed < minimum || parsed > maximum {
			return fmt.Sprintf("a duration with a unit from %v to %v, such as 3s", minimum, maximum)
		}
		return ""
	})
}

// Number adds a setting that is a whole number between two bounds.
func (loader *Loader) Number(target *int, name string, defaultValue, minimum, maximum int, unit, usage string) {
	loader.add(name, unit, strconv.Itoa(defaultValue), usage, func(value string) string {
		parsed, err := strconv.Atoi(value)
		*target = parsed
		if err != nil || parsed < minimum || parsed > maximum {
			return fmt.Sprintf("a whole number of %s from %d to %d", unit, minimum, maximum)
		}
		return ""
	})
}

// Choice adds a setting that is one of the given words.
func (loader *Loader) Choice(target *string, name, defaultValue, usage string, words ...string) {
	loader.add(name, strings.Join(words, "|"), defaultValue, usage, func(value string) string {
		*target = value
		for _, word := range words {
			if word == value {
				return ""
			}
		}
		return "one of " + strings.Join(words, ", ")
	})
}

// Func adds a setting whose value is passed to a function, which returns a description of the accepted values if the value is invalid.
func (loader *Loader) Func(name, unit, defaultValue, usage string, set func(value string) (expected string)) {
	loader.add(name, unit, defaultValue, usage, set)
}

// Load reads each setting from the arguments, or else from the environment, or else from its default.
func (loader *Loader) Load(arguments []string, lookup func(string) (string, bool)) error {
	parser := flaggy.NewParser(loader.program)
	parser.Description = loader.description
	parser.Version = loader.version
	parser.ShowCompletion = false
	for _, setting := range loader.settings {
		parser.String(&setting.value, "", setting.name, fmt.Sprintf("%s [%s] (default %q, environment %s)",
			setting.usage, setting.unit, setting.defaultValue, environmentName(setting.name)))
	}
	parser.Bool(&loader.printRequested, "", "print-settings", "Print the effective settings, secrets hidden, and exit")
	if err := parser.ParseArgs(arguments); err != nil {
		return ValidationErrors{{
			name:     "arguments",
			value:    strings.Join(arguments, " "),
			expected: "flags as --help lists them (" + err.Error() + ")",
			source:   "command line",
		}}
	}
	var validationErrors ValidationErrors
	for _, setting := range loader.settings {
		setting.resolve(lookup)
		if expected := setting.set(setting.value); expected != "" {
			validationErrors = append(validationErrors, ValidationError{
				name:     setting.name,
				value:    setting.displayValue(),
				expected: expected,
				source:   setting.source,
			})
		}
	}
	if len(validationErrors) > 0 {
		return validationErrors
	}
	return nil
}

func (setting *setting) resolve(lookup func(string) (string, bool)) {
	setting.source = "flag"
	if setting.value != "" {
		return
	}
	if value, ok := lookup(environmentName(setting.name)); ok {
		setting.value = value
		setting.source = "environment " + environmentName(setting.name)
		return
	}
	setting.value = setting.defaultValue
	setting.source = "default"
}

func (setting *setting) displayValue() string {
	if setting.secret && setting.value != "" {
		return hiddenValue
	}
	return setting.value
}

func environmentName(name string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// WantsPrint returns whether the arguments ask to print the effective settings.
func (loader *Loader) WantsPrint() bool { return loader.printRequested }

// Print writes the effective settings, one per line, with secrets hidden.
func (loader *Loader) Print(writer io.Writer) {
	settings := append([]*setting(nil), loader.settings...)
	sort.Slice(settings, func(i, j int) bool { return settings[i].name < settings[j].name })
	for _, setting := range settings {
		_, _ = fmt.Fprintf(writer, "%s=%q source=%q\n", setting.name, setting.displayValue(), setting.source)
	}
}

// LoadCommandLine loads the settings from the command line and the environment; it returns false if the program should exit with the code.
func (loader *Loader) LoadCommandLine() (code int, run bool) {
	if err := loader.Load(os.Args[1:], os.LookupEnv); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return ExitUsage, false
	}
	if loader.printRequested {
		loader.Print(os.Stdout)
		return 0, false
	}
	return 0, true
}

// ExitUsage is the exit code for invalid settings or arguments.
const ExitUsage = 2
