/** Keeps the keys of this process fresh, and changes the ring for operators. */
package org.chervillift.daemon.internal.keys;
