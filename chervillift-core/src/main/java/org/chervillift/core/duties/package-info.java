/** Duties that one process holds at a time, under a lease row with a fencing token. */
package org.chervillift.core.duties;
