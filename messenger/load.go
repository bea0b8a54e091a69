package messenger

import (
	"strconv"
	"strings"
)

const loadFieldCount = 4

// EncodeLoad encodes a load as the value of a header.
func EncodeLoad(load Load) string {
	fields := []string{strconv.Itoa(load.InFlight), strconv.Itoa(load.Queued), strconv.Itoa(load.Limit), strconv.Itoa(load.PrefillBytes)}
	return strings.Join(fields, " ")
}

// DecodeLoad decodes the value of a header, and returns false if it is not an encoded load.
func DecodeLoad(value string) (Load, bool) {
	fields := strings.Fields(value)
	if len(fields) != loadFieldCount {
		return Load{}, false
	}
	var numbers [loadFieldCount]int
	for i, field := range fields {
		number, err := strconv.Atoi(field)
		if err != nil {
			return Load{}, false
		}
		numbers[i] = number
	}
	return Load{
		InFlight:     numbers[0],
		Queued:       numbers[1],
		Limit:        numbers[2],
		PrefillBytes: numbers[3],
	}, true
}
