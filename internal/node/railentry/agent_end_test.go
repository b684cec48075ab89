package railentry_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
)

// finalResponseTime bounds the time from the end of an agent's drain, or of its process, to the final response to its calls' callers.
const finalResponseTime = 2 * time.Second

// agentEnds are the ways in which an agent's process ends.
func agentEnds() map[string]func(*agentProcess) {
	return map[string]func(*agentProcess){
		"stopped": func(a *agentProcess) { a.stop() },
		"killed":  func(a *agentProcess) { a.kill() },
	}
}

func waitStarted(t *testing.T, a *agentProcess) {
	t.Helper()
	select {
	case <-a.started:
	case <-time.After(readTimeout):
		t.Fatal("the request does not start")
	}
}

// startKnownAgent starts another agent of a service and waits until the entry sends requests to it.
func (d *drainDeployment) startKnownAgent(t *testing.T, service string) *agentProcess {
	t.Helper()
	name := service + "-2"
	agent := d.startAgent(t, name, service, agentDrain)
	ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
	defer cancel()
	for {
		c := d.connect(t)
		c.send(t, "/"+service+"/x", "", "Connection: close\r\n")
		if c.receive(t).endpoint == name {
			return agent
		}
		qt.Assert(t, railtimer.Sleep(ctx, pollInterval), qt.IsTrue)
	}
}

// Guards against callers that get a late answer or a wrong verdict because the agent that runs their request ends: an order may have run, a lookup goes
// on at another endpoint. An agent that is stopped says so itself, so that nobody has to find out.
func TestCallsThatOutlastTheirAgentAreAnswered(t *testing.T) {
	for name, end := range agentEnds() {
		for service, test := range map[string]struct {
			status  int
			verdict string
		}{"orders": {http.StatusBadGateway, "mayHaveRun"}, "lookups": {http.StatusOK, "ran"}} {
			t.Run(service+", "+name, func(t *testing.T) {
				t.Parallel()
				d := newDrainDeployment(t, longDrain, asIs)
				agent := d.agents[service]
				known := d.startKnownAgent(t, service)
				other := known
				release := sync.OnceFunc(func() {
					close(d.agents[service].release)
					close(known.release)
				})
				defer release()
				caller := d.connect(t)
				caller.send(t, "/"+service+"/x", heldBody, "")
				select {
				case <-agent.started:
				case <-other.started:
					agent, other = other, agent
				case <-time.After(readTimeout):
					t.Fatal("the request does not start")
				}
				start := time.Now()
				end(agent)
				if service == "lookups" {
					waitStarted(t, other)
					release()
				}
				got := caller.receive(t)
				qt.Assert(t, got.err, qt.IsNil)
				qt.Check(t, got.status, qt.Equals, test.status, qt.Commentf("%s", got.body))
				qt.Check(t, got.verdict, qt.Equals, test.verdict)
				if service == "orders" && name == "stopped" {
					qt.Check(t, got.body, qt.Contains, "LEAVING")
				}
				qt.Check(t, time.Since(start) < agentDrain+finalResponseTime, qt.IsTrue)
			})
		}
	}
}

// Guards against a request that waits for admission at an agent which ends, and that gets no answer, or is told that it has not run though it may have.
func TestCallsThatWaitAtAnAgentThatEndsAreAnswered(t *testing.T) {
	for name, end := range agentEnds() {
		for _, service := range []string{"orders", "lookups"} {
			t.Run(service+", "+name, func(t *testing.T) {
				t.Parallel()
				d := newDrainDeployment(t, longDrain, asIs)
				agent := d.agents[service]
				defer close(agent.release)
				running := d.connect(t)
				running.send(t, "/"+service+"/x", heldBody, "")
				waitStarted(t, agent)
				caller := d.connect(t)
				caller.send(t, "/"+service+"/x", "", "")
				time.Sleep(pollInterval) // Most often, the request waits at the agent then, and otherwise at the entry.
				end(agent)
				close(d.startAgent(t, service+"-2", service, agentDrain).release) // It also gets the lookup that the first one was running.
				qt.Check(t, running.receive(t).err, qt.IsNil)
				got := caller.receive(t)
				qt.Assert(t, got.err, qt.IsNil)
				if name == "killed" && service == "orders" && got.status == http.StatusBadGateway {
					qt.Check(t, got.verdict, qt.Equals, "mayHaveRun")
					return
				}
				qt.Check(t, got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
				qt.Check(t, got.endpoint, qt.Equals, service+"-2")
			})
		}
	}
}
