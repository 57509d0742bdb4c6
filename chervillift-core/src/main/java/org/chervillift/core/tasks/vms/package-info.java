/** Plans maintenance of VMs and their moves between pools, around the tasks that they run. */
package org.chervillift.core.tasks.vms;
