/** Tracks the permits and leases of one entry VM and computes its share of a limit. */
package org.chervillift.core.limits.internal;
