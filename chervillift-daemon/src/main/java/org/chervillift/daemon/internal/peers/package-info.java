/** Talks to the other daemons: membership, versions, freshness and load. */
package org.chervillift.daemon.internal.peers;
