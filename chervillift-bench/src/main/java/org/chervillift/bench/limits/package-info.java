/** Experiments with the upper limits of teams, in virtual time with the real decision classes. */
package org.chervillift.bench.limits;
