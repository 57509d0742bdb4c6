/** Maintenance waves: which VMs are taken out, the steps of each VM, and when a wave pauses. */
package org.chervillift.core.waves;
