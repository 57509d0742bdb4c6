/** Communicates with the other daemons: membership, content versions, key freshness and load. */
package org.chervillift.daemon.internal.peers;
