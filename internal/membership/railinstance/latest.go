package railinstance

// Latest returns those of the instances whose service is known and whose address no later entry names: a start that ended
// without a word stays listed for seconds beside the one that has its address now.
func Latest(list []Instance, known func(service string) bool) []Instance {
	newest := make(map[string]int64, len(list))
	for _, i := range list {
		if known(i.Service) {
			newest[i.Address] = max(newest[i.Address], i.Revision)
		}
	}
	var latest []Instance
	for _, i := range list {
		if known(i.Service) && i.Revision == newest[i.Address] {
			latest = append(latest, i)
		}
	}
	return latest
}
