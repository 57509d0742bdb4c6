package org.chervillift.api.tasks;

import org.chervillift.api.Checks;

/**
 * A job that is stored and will be carried out.
 *
 * @param spec what to run
 * @param policy the policy of its queue at the time of acceptance
 * @param customer the customer whose key came with it, or empty on a queue open to all
 * @param acceptedAtMillis when it was accepted, in milliseconds since 1970 UTC
 */
public record AcceptedJob(
        JobSpec spec, QueuePolicy policy, String customer, long acceptedAtMillis) {

    public AcceptedJob {
        Checks.notNull("spec", spec);
        Checks.notNull("policy", policy);
        Checks.notNull("customer", customer);
    }

    /** Returns the same job without its payload, which is needed only to start tasks. */
    public AcceptedJob withoutPayload() {
        JobSpec bare = new JobSpec(spec.id(), "", spec.steps(), spec.schedule());
        return new AcceptedJob(bare, policy, customer, acceptedAtMillis);
    }

    /** Returns the job's identifier. */
    public String id() {
        return spec.id();
    }
}
