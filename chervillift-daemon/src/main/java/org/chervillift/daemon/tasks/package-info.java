/**
 * Accepts jobs from callers, keeps them in the store, and runs their tasks on the fleet's workers.
 *
 * <p>Every process accepts jobs. Only the process that holds the fleet lease, the holder, sends
 * orders to the workers.
 */
package org.chervillift.daemon.tasks;
