package org.chervillift.daemon.requests;

import java.util.function.Consumer;
import org.chervillift.api.Checks;
import org.chervillift.core.requests.RequestFacts;
import org.chervillift.core.requests.RetryContext;
import org.chervillift.core.routing.RelayChooser;
import org.chervillift.core.routing.Router;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * The services shared by all request executions of an entry VM.
 *
 * @param claims acquires claims for request identifiers
 * @param router chooses among upstreams
 * @param relays chooses among other entry VMs
 * @param retry the retry policy, its budget and its random source
 * @param sender sends one attempt
 * @param scheduler the clock and timers
 */
public record RequestServices(
        ClaimClient claims,
        Router router,
        RelayChooser relays,
        RetryContext retry,
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
     * Starts the execution of a request.
     *
     * @param facts the properties of the request that its execution depends on
     * @param request the request to send
     * @param onResponse receives the single response
     */
    public void start(
            RequestFacts facts, OutgoingRequest request, Consumer<CallerResponse> onResponse) {
        new RequestExecution(this, facts, request, onResponse).start();
    }
}
