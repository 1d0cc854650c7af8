package sidecar

// serviceNumbers assigns each service a number for the life of the process: the decision modules know
// services by number. It is not safe for concurrent use.
type serviceNumbers struct {
	byName map[string]int
	names  []string // by number
}

func newServiceNumbers() serviceNumbers { return serviceNumbers{byName: make(map[string]int)} }

// number is a service's number, a new one at its first use.
func (s *serviceNumbers) number(service string) int {
	n, known := s.byName[service]
	if !known {
		n = len(s.names)
		s.byName[service] = n
		s.names = append(s.names, service)
	}
	return n
}
