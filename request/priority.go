package request

import "github.com/zeebo/errs"

// Class is the importance class of an operation, as set in a template.
type Class uint8

// The classes, in order of decreasing importance.
const (
	Essential Class = iota
	Standard
	Bulk
)

// ClassCount is the number of classes.
const ClassCount = 3

var classNames = [ClassCount]string{"essential", "standard", "bulk"}

// String returns the name of the class as used in templates.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class with the given name, or an error if there is none.
func ParseClass(s string) (Class, error) {
	for i, name := range classNames {
		if s == name {
			return Class(i), nil
		}
	}
	return 0, errs.New("class %q is unknown; use essential, standard or bulk", s)
}

// Priority orders requests from 0, the most important, to PriorityCount-1; it is the same at every hop of a request.
type Priority uint16

// The layout of a Priority: the class in the high byte, the rank within the class in the low byte.
const (
	PrioritiesPerClass Priority = 256
	PriorityCount               = PrioritiesPerClass * ClassCount
	halfClass                   = PrioritiesPerClass / 2
)

// PriorityOf returns the priority of a request: its rank within the class is a hash of its ID, so that all hops refuse the same
// requests.
func PriorityOf(c Class, id ID) Priority {
	return Priority(c)*PrioritiesPerClass + Priority(id.hashByte())
}

// Demote maps a priority to the less important half of its class, for customers above their configured rate.
func (p Priority) Demote() Priority {
	base := p / PrioritiesPerClass * PrioritiesPerClass
	return base + halfClass + (p-base)/2
}

// Class returns the class that the priority belongs to.
func (p Priority) Class() Class { return Class(p / PrioritiesPerClass) }

// hashByte hashes all bytes of the ID with FNV-1a, since callers may choose IDs that differ in a few bits only.
func (id ID) hashByte() byte {
	var h uint64 = 14695981039346656037
	for _, b := range id {
		h ^= uint64(b)
		h *= 1099511628211
	}
	h ^= h >> 32
	h ^= h >> 16
	return byte(h ^ h>>8)
}
