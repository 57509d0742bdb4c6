/**
 * Claims on request identifiers, which make a non-idempotent request run at most once when its
 * caller repeats it.
 */
package org.chervillift.core.claims;
