/** Seeded randomised runs in virtual time that assert the invariants of the request path. */
package org.chervillift.bench.soak;
