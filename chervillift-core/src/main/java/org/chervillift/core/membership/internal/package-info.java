/** Failure detection, link planning, fetch planning and summary selection for membership. */
package org.chervillift.core.membership.internal;
