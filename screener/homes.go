package screener

import "slices"

// Homes are the lists of regions of a route and a workspace, which both bind; an empty list means all regions.
type Homes [2][]string

// Permit returns whether a backend server in a region may be sent to; of a region that is not known, only lists that name none permit it.
func (homes Homes) Permit(region string) bool {
	for _, list := range homes {
		if len(list) > 0 && !slices.Contains(list, region) {
			return false
		}
	}
	return true
}

// Anywhere returns whether neither list names a region.
func (homes Homes) Anywhere() bool { return len(homes[0]) == 0 && len(homes[1]) == 0 }
