/**
 * Leader election for duties: one process holds a duty at a time, by a lease row with a fencing
 * token.
 */
package org.chervillift.core.duties;
