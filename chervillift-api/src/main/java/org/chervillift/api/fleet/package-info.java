/**
 * The rows that say what every VM, pool, wave and duty is doing, and the maintenance operations.
 */
package org.chervillift.api.fleet;
