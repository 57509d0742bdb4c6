/** Who the other daemons are, what they know, and whom this one links to. */
package org.chervillift.core.membership;
