package org.chervillift.core.tasks;

/**
 * What the holder knows of the present lifetime of a worker. Times are steady, in milliseconds.
 *
 * @param workerId the identifier, which a later lifetime may share
 * @param knownSince when the holder first learned of the lifetime, which had begun by then
 * @param aliveAt the latest moment at which the worker surely was alive in this lifetime
 * @param registeredBeforeTerm whether it registered before the holder's term began
 */
public record WorkerEvidence(
        String workerId, long knownSince, long aliveAt, boolean registeredBeforeTerm) {

    /** Before any moment that the holder knows of. */
    static final long NEVER = Long.MIN_VALUE;

    /** Returns the evidence of a worker of an earlier holder that the registry does not list. */
    static WorkerEvidence ofUnlisted(String workerId) {
        return new WorkerEvidence(workerId, NEVER, NEVER, true);
    }
}
