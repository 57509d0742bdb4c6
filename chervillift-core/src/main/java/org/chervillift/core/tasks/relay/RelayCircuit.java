package org.chervillift.core.tasks.relay;

import java.util.HashSet;
import java.util.Set;

/**
 * A circuit breaker: stops relaying while no peer can serve requests.
 *
 * <p>If the store is down for all entry VMs, each relayed request would only delay the answer and
 * add load. The circuit opens when several peers failed and none has answered since. While it is
 * open, one request after each back-off tests whether any peer serves again. Not thread-safe.
 */
final class RelayCircuit {

    /** Fewer peers in a row fail by chance where the store rejects a third of the entry VMs. */
    static final int PEERS_TO_OPEN = 3;

    /** Failures further apart than the longest back-off do not count together. */
    private static final long RECENT_MILLIS = RelayBackOff.MAX_MILLIS;

    private final Set<String> failedPeers = new HashSet<>();
    private long lastFailureAt;
    private RelayBackOff backOff = RelayBackOff.NONE;
    private boolean probing;

    boolean isOpen() {
        return backOff.isFailing();
    }

    /** Returns whether a request may be relayed now. */
    boolean allowsTry(long now) {
        return !isOpen() || !probing && backOff.isOver(now);
    }

    void recordStart(boolean probe) {
        probing |= probe;
    }

    /**
     * Records that a peer has answered, or failed.
     *
     * @param peerCount the number of known peers
     */
    void recordResult(RelayTry tried, boolean answered, int peerCount, long now) {
        if (tried.probe()) {
            probing = false;
        }
        if (answered) {
            close();
        } else if (!isOpen()) {
            addFailure(tried.peer().vm(), peerCount, now);
        } else if (tried.probe()) {
            backOff = backOff.afterFailure(now);
        }
    }

    private void close() {
        backOff = RelayBackOff.NONE;
        failedPeers.clear();
    }

    private void addFailure(String vm, int peerCount, long now) {
        if (now - lastFailureAt > RECENT_MILLIS) {
            failedPeers.clear();
        }
        lastFailureAt = now;
        failedPeers.add(vm);
        if (failedPeers.size() >= Math.min(PEERS_TO_OPEN, peerCount)) {
            backOff = backOff.afterFailure(now);
        }
    }
}
