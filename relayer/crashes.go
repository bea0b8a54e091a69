package relayer

// AnnounceCrashes sends the entries the number of backend servers that each of a few requests, by fingerprint, crashed at this entry.
func (relayer *Relayer) AnnounceCrashes(crashed map[string]int) {
	notice := Notice{
		From:    relayer.options.Address,
		Crashed: crashed,
	}
	relayer.spread(notice, true)
}
