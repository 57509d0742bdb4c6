/** A snapshot of the fleet for decisions: rows with versions, health, and conditional writes. */
package org.chervillift.core.fleet;
