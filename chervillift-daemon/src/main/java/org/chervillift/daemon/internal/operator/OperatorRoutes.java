package org.chervillift.daemon.internal.operator;

import io.activej.http.RoutingServlet;

/** Operators' requests of one kind. */
public interface OperatorRoutes {

    /** Adds the routes; each path starts with {@code /v1/} below {@code /operator}. */
    void addTo(RoutingServlet.Builder routes);
}
