// Package railproofs keeps what an entry knows of the engines' weights. An engine's own row shows complete weights whether or not they were loaded
// from intact pieces, so an entry sends requests only to engines whose weights are proven: by a statement of the carrier beside the engine, by
// another entry that has one, or by the engine itself if it has accepted no order since its start and so holds what it came with.
//
// A proof holds for one order of one start of an engine. It needs no renewal, since weights don't change without an order, and a statement about a
// later order replaces it. So a lost or late statement can only keep requests away. An order for the same version once more is the one case in
// which requests that name the version would not notice; before that, the carrier has the entries drop their proofs.
//
// A proof is in doubt after a failure of its engine, which may have started again, and after this process has stood still, when it may have missed
// a statement. It counts again once the carrier or the engine has confirmed the engine's start and order. What another entry knows is in doubt from the
// beginning, since it may have missed a statement itself.
package railproofs
