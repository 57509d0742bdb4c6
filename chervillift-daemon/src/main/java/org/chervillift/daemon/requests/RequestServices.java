package org.chervillift.daemon.requests;

import java.util.function.Consumer;
import org.chervillift.api.Checks;
import org.chervillift.core.requests.RequestFacts;
import org.chervillift.core.requests.RetryTools;
import org.chervillift.core.routing.Relays;
import org.chervillift.core.routing.Router;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * What the courses of all requests of an entry VM share.
 *
 * @param claims where identifiers are claimed
 * @param router the choice among upstreams
 * @param relays the choice among other entry VMs
 * @param retry the retry policy, its budget and its randomness
 * @param sender sends one attempt
 * @param scheduler the clock and the timers
 */
public record RequestServices(
        ClaimClient claims,
        Router router,
        Relays relays,
        RetryTools retry,
        Sender sender,
        Scheduler scheduler) {
    public RequestServices {
        Checks.notNull("claims", claims);
        Checks.notNull("router", router);
        Checks.notNull("relays", relays);
        Checks.notNull("retry", retry);
        Checks.notNull("sender", sender);
        Checks.notNull("scheduler", scheduler);
    }

    /**
     * Starts the course of a request.
     *
     * @param facts what its course depends on
     * @param request what to send
     * @param onAnswer told the one answer
     */
    public void start(
            RequestFacts facts, OutgoingRequest request, Consumer<CallerResponse> onAnswer) {
        new RequestExecution(this, facts, request, onAnswer).start();
    }
}
