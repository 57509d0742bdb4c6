/** What operators can ask of the daemon. */
package org.chervillift.daemon.internal.operator;
