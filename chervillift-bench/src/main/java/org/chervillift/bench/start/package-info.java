/** Starts the built program by the command of the deploy file, until it is ready. */
package org.chervillift.bench.start;
