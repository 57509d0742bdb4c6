/** Maintains this process's key membership, and changes the key ring for operators. */
package org.chervillift.daemon.internal.keys;
