/** Netty channels, the handshake and the frames. */
package org.chervillift.wire.internal;
