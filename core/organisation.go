package core

import (
	"crypto/sha256"
	"slices"
)

// KeyDigest is the SHA-256 digest of an API key. Hosts keep and exchange digests in place of
// keys, so that no key reaches a log, a trace or another host.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key []byte) KeyDigest {
	return sha256.Sum256(key)
}

// DigestKeys returns the digests of several API keys, nil if there are none.
func DigestKeys(keys []string) []KeyDigest {
	var digests []KeyDigest
	for _, key := range keys {
		digests = append(digests, DigestKey([]byte(key)))
	}
	return digests
}

// Quota limits the requests of an organisation that run, over all hosts together. A Rate of 0
// means no limit.
type Quota struct {
	Rate RequestRate `cbor:"1,keyasint,omitempty"`
	// Burst is the number of requests that may run at once after a time without requests.
	Burst float64 `cbor:"2,keyasint,omitempty"`
}

// OrganisationPolicy is the policy of one organisation in a RoutingPolicy.
type OrganisationPolicy struct {
	Name Organisation `cbor:"1,keyasint"`
	// Keys are the digests of the API keys that identify requests of the organisation.
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Priority replaces that of the route; nil keeps the route's.
	Priority *Priority `cbor:"3,keyasint,omitempty"`
	// HomeRegions are the only regions in which requests of the organisation may run; empty
	// means all.
	HomeRegions []RegionName `cbor:"4,keyasint,omitempty"`
	Quota       Quota        `cbor:"5,keyasint,omitempty"`
}

// Validate returns Findings with everything that prevents requests of the organisation from being
// served.
func (o *OrganisationPolicy) Validate() error {
	var findings Findings
	if o.Name == "" {
		findings.Addf("name", "is empty")
	}
	if !(o.Quota.Rate >= 0) || !(o.Quota.Burst >= 0) {
		findings.Addf("quota", "rate %v and burst %v must not be negative", o.Quota.Rate, o.Quota.Burst)
	}
	return findings.Err()
}

// CommonHomeRegions returns the regions that two lists of home regions both allow, where an
// empty list allows all. It returns false if there is none, so that nothing may run.
func CommonHomeRegions(a, b []RegionName) ([]RegionName, bool) {
	if len(a) == 0 {
		return b, true
	}
	if len(b) == 0 {
		return a, true
	}
	common := slices.DeleteFunc(slices.Clone(a), func(region RegionName) bool { return !slices.Contains(b, region) })
	return common, len(common) > 0
}

// PriorityOf returns the priority of a request of the route by the organisation, which is nil
// on routes without keys.
func PriorityOf(route *Route, organisation *OrganisationPolicy) Priority {
	if organisation == nil || organisation.Priority == nil {
		return route.Priority
	}
	return *organisation.Priority
}

// NewOrganisationIndex indexes organisations by the digests of their keys. The error is of type
// Findings if two organisations hold the same key.
func NewOrganisationIndex(organisations []OrganisationPolicy) (map[KeyDigest]*OrganisationPolicy, error) {
	var findings Findings
	index := map[KeyDigest]*OrganisationPolicy{}
	for i := range organisations {
		organisation := &organisations[i]
		for _, key := range organisation.Keys {
			if other := index[key]; other != nil && other.Name != organisation.Name {
				findings.Addf(JSONPointer("organisations", i), "%q holds a key of %q", organisation.Name, other.Name)
				continue
			}
			index[key] = organisation
		}
	}
	return index, findings.Err()
}
