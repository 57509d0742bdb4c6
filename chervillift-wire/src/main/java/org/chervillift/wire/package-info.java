/** The protocol between daemons: protobuf messages over Netty. */
package org.chervillift.wire;
