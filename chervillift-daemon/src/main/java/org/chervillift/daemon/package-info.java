/** The main class of the daemon on an entry VM. */
package org.chervillift.daemon;
