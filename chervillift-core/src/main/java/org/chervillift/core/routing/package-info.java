/** Chooses the upstream of a request, within the slots that this entry VM may use. */
package org.chervillift.core.routing;
