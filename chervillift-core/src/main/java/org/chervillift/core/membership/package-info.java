/** Tracks the other daemons, the versions that they hold, and which of them to connect to. */
package org.chervillift.core.membership;
