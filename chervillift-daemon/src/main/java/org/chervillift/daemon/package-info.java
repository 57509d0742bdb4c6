/** The daemon on an entry VM. */
package org.chervillift.daemon;
