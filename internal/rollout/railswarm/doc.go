// Package railswarm downloads the chunks of a manifest for one agent. The agents of a region exchange inventories of the
// chunks that they hold and request each chunk from the agent that can deliver it soonest; each chunk is imported into a
// region once.
package railswarm
