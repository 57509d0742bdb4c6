/** A store of rows, workers, VMs and an advice service in memory, for tests and the demo. */
package org.chervillift.standin.tasks;
