package customer

import "slices"

// maxRemovedKeys bounds the remembered keys, so that one configuration version may remove the
// keys of 100,000 customers. The hashes take about 10 MB then.
const maxRemovedKeys = 128 << 10

// removedKeys holds the hashes of keys that earlier configuration versions have held. It is
// immutable.
type removedKeys struct {
	held  map[Credential]struct{}
	order []Credential // earliest removal first
}

func (r removedKeys) contains(credential Credential) bool {
	_, found := r.held[credential]
	return found
}

// next returns the removed keys after a change of the keys in force. Beyond maxRemovedKeys the
// keys that were removed first are forgotten.
func (r removedKeys) next(before, after Index[*Customer]) removedKeys {
	order := make([]Credential, 0, len(r.order))
	for _, credential := range r.order {
		if _, added := after.Lookup(credential); !added {
			order = append(order, credential)
		}
	}
	unchanged := len(order) == len(r.order)
	for credential := range before.owners {
		if _, kept := after.Lookup(credential); !kept {
			order = append(order, credential)
			unchanged = false
		}
	}
	if unchanged {
		return r
	}
	if excess := len(order) - maxRemovedKeys; excess > 0 {
		order = slices.Clone(order[excess:])
	}
	next := removedKeys{order: order, held: make(map[Credential]struct{}, len(order))}
	for _, credential := range order {
		next.held[credential] = struct{}{}
	}
	return next
}
