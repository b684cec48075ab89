// Package railenvelope holds what the headers of requests and answers say, in the product's own terms. Whoever translates
// them for a platform implements Translator.
package railenvelope
