/** Maintenance waves: who is taken out, when a VM goes on to its next step, and when to pause. */
package org.chervillift.core.waves;
