/** The protocol by which entry VMs relay callers' requests to each other. */
package org.chervillift.daemon.tasks.relay;
