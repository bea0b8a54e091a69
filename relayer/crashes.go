package relayer

import "github.com/cranberryward/cranberryward"

// AnnounceParts tells the entries what this one knows about prompt parts and requests that may crash backend servers.
func (relayer *Relayer) AnnounceParts(parts []cranberryward.PartReport) {
	notice := Notice{
		From:  relayer.options.Address,
		Parts: parts,
		// Processes of earlier builds, which do not know Parts, keep the rest of the previous notice.
		AgeOnly: true,
	}
	relayer.spread(notice, true)
}

// SendParts tells one entry what this one knows about prompt parts and requests that may crash backend servers.
func (relayer *Relayer) SendParts(address string, parts []cranberryward.PartReport) {
	notice := Notice{
		From:    relayer.options.Address,
		Parts:   parts,
		AgeOnly: true,
	}
	relayer.send(notice, []string{address})
}

// AnnounceLimits tells the entries the limits that backend servers have named to this one.
func (relayer *Relayer) AnnounceLimits(limits []cranberryward.LimitReport) {
	notice := Notice{
		From:    relayer.options.Address,
		Limits:  limits,
		AgeOnly: true, // as for Parts
	}
	relayer.spread(notice, true)
}
