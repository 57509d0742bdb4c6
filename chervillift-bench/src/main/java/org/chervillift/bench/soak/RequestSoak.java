package org.chervillift.bench.soak;

import java.time.Duration;
import java.util.Map;

/**
 * A long randomised run of the request path in virtual time.
 *
 * <p>The real classes run over a table service, upstreams and connections that fail. A request that
 * runs twice, a "not run" that is not true, an answer of another request, a cut answer, two answers
 * or none end the run with a {@link SoakFault}.
 */
public final class RequestSoak {

    private RequestSoak() {}

    /**
     * Runs once.
     *
     * @return how often each kind of thing happened
     * @throws SoakFault when an invariant breaks
     */
    public static Map<String, Long> run(long seed, Duration time) {
        return new SoakWorld(seed, true).run(time);
    }

    /** Runs over a table service that ignores conditions, to show that the run sees the fault. */
    static Map<String, Long> runOverFaultyStore(long seed, Duration time) {
        return new SoakWorld(seed, false).run(time);
    }
}
