package railinstance

// Latest returns the newest instance of each address, without those of unknown services. An instance that crashed stays listed
// for seconds next to the one that has taken over its address, and its last row may be written after the newer instance's row.
func Latest(list []Instance, knownService func(service string) bool) []Instance {
	newest := make(map[string]Instance, len(list))
	for _, i := range list {
		if !knownService(i.Service) {
			continue
		}
		if other, ok := newest[i.Address]; !ok || i.newerThan(other) {
			newest[i.Address] = i
		}
	}
	var latest []Instance
	for _, i := range list {
		if newest[i.Address].ID == i.ID {
			latest = append(latest, i)
		}
	}
	return latest
}

// newerThan reports whether i started later than other, or has the newer row if both have the same start time.
func (i Instance) newerThan(other Instance) bool {
	if i.StartMillis != other.StartMillis {
		return i.StartMillis > other.StartMillis
	}
	return i.RowVersion > other.RowVersion
}
