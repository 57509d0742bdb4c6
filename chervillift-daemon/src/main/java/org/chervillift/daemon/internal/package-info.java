/** The parts of the daemon. */
package org.chervillift.daemon.internal;
