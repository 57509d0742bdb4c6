package org.chervillift.api.tasks;

import org.chervillift.api.Checks;

/**
 * Where callers reach a queue.
 *
 * @param host the host name that callers give
 * @param pathPrefix the start of the path
 * @param openToAll whether callers need no key
 * @param policy how the jobs are treated
 */
public record QueueRoute(String host, String pathPrefix, boolean openToAll, QueuePolicy policy) {
    public QueueRoute {
        Checks.notBlank("host", host);
        Checks.notBlank("pathPrefix", pathPrefix);
        Checks.notNull("policy", policy);
    }
}
