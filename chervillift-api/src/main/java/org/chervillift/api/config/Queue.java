package org.chervillift.api.config;

import org.chervillift.api.Checks;

/**
 * A queue that callers send requests to.
 *
 * @param name unique name
 * @param pool the pool whose upstreams serve it
 * @param open whether work is taken without a key
 */
public record Queue(String name, String pool, boolean open) {
    public Queue {
        Checks.notBlank("name", name);
        Checks.notBlank("pool", pool);
    }
}
