/** How one entry VM counts, divides and moves permits. */
package org.chervillift.core.limits.internal;
