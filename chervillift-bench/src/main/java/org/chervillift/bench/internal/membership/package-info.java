/** Measurements and long randomised runs of membership in virtual time. */
package org.chervillift.bench.internal.membership;
