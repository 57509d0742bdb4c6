/**
 * Claims on request identifiers, which ensure that a non-idempotent request runs at most once when
 * its caller repeats it.
 */
package org.chervillift.core.claims;
