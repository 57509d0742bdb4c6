/** The servers, settings and request handling of the daemon, and their assembly. */
package org.chervillift.daemon.internal;
