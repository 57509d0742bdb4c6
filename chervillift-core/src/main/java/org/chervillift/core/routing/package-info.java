/** Which upstream a request goes to, within the slots that this entry VM may use. */
package org.chervillift.core.routing;
