package org.chervillift.daemon.internal.operator;

import io.activej.http.RoutingServlet;

/** The HTTP routes for one kind of operators' requests. */
public interface OperatorRoutes {

    /** Adds the routes; each path starts with {@code /v1/} and is relative to {@code /operator}. */
    void addTo(RoutingServlet.Builder routes);
}
