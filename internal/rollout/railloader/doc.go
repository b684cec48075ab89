// Package railloader makes the local engine load weights, and lets it serve them only once it is known that all pieces that the engine
// has loaded were intact. The engine doesn't check them.
//
// A piece can become corrupt at the engine at any time, and never becomes intact again by itself. Two observations prove that a layer was
// loaded from intact pieces:
//
//   - Its pieces were put or verified shortly before the engine's answer to the order. This is the usual case.
//   - Its pieces are intact after the engine has accepted the order, and none was put in between.
//
// The second one may take long on a slow VM. So the engine first loads all layers but the last one, with which it rejects requests. Once
// these are proven, it loads the last layer, whose few pieces are verified just before.
package railloader
