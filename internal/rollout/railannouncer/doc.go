// Package railannouncer tells the entries what a carrier knows of its engine: which version it serves, when that changes, and which weights are proven
// to be intact. What is said of proofs is repeated until each entry has replied; its replies tell in turn what the entry knows, and that it uses
// no weights of earlier orders any more.
package railannouncer
