package railrequest

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// minPrefixBytes is the length of the shortest prefix of a body that requests are taken to share, and prefixFactor the ratio of the
	// lengths of one prefix and the next shorter one.
	minPrefixBytes = 256
	prefixFactor   = 2

	kindCustomer = "customer"
	kindSession  = "session"
	kindPrefix   = "prefix"
	kindBody     = "body"
)

// WithSharedParts returns the request with the identities of what other requests of its service may share with it: the customer, the session
// unless it is empty, prefixes of the body, and the whole body. A request that must not run twice has none.
func (r Request) WithSharedParts(session string) Request {
	r.SharedParts = nil
	if !r.Idempotent {
		return r
	}
	r.SharedParts = append(r.SharedParts, r.customerPart(kindCustomer, r.Customer))
	if session != "" {
		r.SharedParts = append(r.SharedParts, r.customerPart(kindSession, r.Customer+"/"+session))
	}
	r.SharedParts = append(r.SharedParts, r.bodyParts()...)
	return r
}

// customerPart returns the identity of something that the requests of one customer share.
func (r Request) customerPart(kind, value string) string {
	return partID(kind, xxhash.Sum64String(r.Service+"/"+value))
}

// bodyParts returns the identities of the body's prefixes and of the body, each for this path only.
func (r Request) bodyParts() []string {
	var parts []string
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Service + r.Path + "\x00")
	hashed := 0
	for length := minPrefixBytes; length < len(r.Body); length *= prefixFactor {
		_, _ = digest.Write(r.Body[hashed:length])
		hashed = length
		parts = append(parts, partID(kindPrefix, digest.Sum64()))
	}
	_, _ = digest.Write(r.Body[hashed:])
	return append(parts, partID(kindBody, digest.Sum64()))
}

func partID(kind string, hash uint64) string {
	return kind + "/" + strconv.FormatUint(hash, 16)
}
