/** The parts of the decisions on membership. */
package org.chervillift.core.membership.internal;
