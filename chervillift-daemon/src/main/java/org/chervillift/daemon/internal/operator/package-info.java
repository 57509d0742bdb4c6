/** Serves the HTTP routes for operators' requests to the daemon. */
package org.chervillift.daemon.internal.operator;
