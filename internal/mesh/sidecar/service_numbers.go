package sidecar

// serviceNumbers assigns a number to each service for the lifetime of the process, because decision modules identify
// services by number. It is not safe for concurrent use.
type serviceNumbers struct {
	byName map[string]int
	names  []string // indexed by number
}

func newServiceNumbers() serviceNumbers { return serviceNumbers{byName: make(map[string]int)} }

// number returns a service's number, and assigns the next free number on first use.
func (s *serviceNumbers) number(service string) int {
	n, found := s.byName[service]
	if !found {
		n = len(s.names)
		s.byName[service] = n
		s.names = append(s.names, service)
	}
	return n
}
