/** Keeps the running work of each team within its upper limit across the fleet. */
package org.chervillift.core.limits;
