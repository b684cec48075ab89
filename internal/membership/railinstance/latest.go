package railinstance

// Latest returns those of the instances whose service is known and whose address no later start has: one that ended without a
// word stays listed for seconds beside the one that has its address now, and its last entry may be written after that one's.
func Latest(list []Instance, known func(service string) bool) []Instance {
	newest := make(map[string]Instance, len(list))
	for _, i := range list {
		if !known(i.Service) {
			continue
		}
		if other, ok := newest[i.Address]; !ok || i.after(other) {
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

// after reports whether an instance started later than another one, or wrote later where the starts don't say.
func (i Instance) after(other Instance) bool {
	if i.StartMillis != other.StartMillis {
		return i.StartMillis > other.StartMillis
	}
	return i.RowVersion > other.RowVersion
}
