/** Maintenance waves in virtual time: the randomised run and the measurements. */
package org.chervillift.bench.waves;
