/** Enforces the upper limit of concurrently running requests of each team across the fleet. */
package org.chervillift.core.limits;
