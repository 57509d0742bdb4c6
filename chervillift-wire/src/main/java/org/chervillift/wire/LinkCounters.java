package org.chervillift.wire;

/**
 * What the links have done since they were opened.
 *
 * @param linked links up now
 * @param bytesSent bytes of frames written to sockets
 * @param bytesReceived bytes of frames read from sockets
 * @param framesSent frames written
 * @param framesReceived frames read
 * @param refused channels refused because the other side did not prove its membership
 * @param silent links closed because they brought nothing for too long
 * @param dropped messages dropped because a queue was full
 */
public record LinkCounters(
        int linked,
        long bytesSent,
        long bytesReceived,
        long framesSent,
        long framesReceived,
        long refused,
        long silent,
        long dropped) {}
