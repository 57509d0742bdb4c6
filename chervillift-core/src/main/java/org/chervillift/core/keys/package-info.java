/**
 * Keys of teams: generating and checking them, and deciding whether the key ring of a process is
 * fresh.
 */
package org.chervillift.core.keys;
