package org.chervillift.wire;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * Bounds of the links.
 *
 * @param silentAfter a link that brought nothing for this long is closed
 * @param handshakeTimeout a link must be dialled and proved within this time
 * @param retryBase longest wait before the first new dial; doubles with each failure
 * @param retryMost longest wait between two dials
 * @param mostFrameBytes largest frame
 * @param mostQueuedBytes most bytes that wait on one link
 * @param mostLinks most channels open at once, in and out
 */
public record LinkSettings(
        Duration silentAfter,
        Duration handshakeTimeout,
        Duration retryBase,
        Duration retryMost,
        int mostFrameBytes,
        int mostQueuedBytes,
        int mostLinks) {

    private static final int LEAST_FRAME_BYTES = 1024;
    private static final int MOST_FRAME_BYTES = 16 * 1024 * 1024;

    public LinkSettings {
        Checks.that(silentAfter.isPositive(), "silentAfter must be positive");
        Checks.that(handshakeTimeout.isPositive(), "handshakeTimeout must be positive");
        Checks.that(retryBase.isPositive(), "retryBase must be positive");
        Checks.that(retryMost.compareTo(retryBase) >= 0, "retryMost must reach retryBase");
        Checks.inRange("mostFrameBytes", mostFrameBytes, LEAST_FRAME_BYTES, MOST_FRAME_BYTES);
        Checks.inRange("mostQueuedBytes", mostQueuedBytes, 1, Integer.MAX_VALUE);
        Checks.inRange("mostLinks", mostLinks, 1, Short.MAX_VALUE);
    }

    /** Returns the bounds that a daemon uses unless it is told otherwise. */
    public static LinkSettings defaults() {
        return new LinkSettings(
                Duration.ofSeconds(4),
                Duration.ofSeconds(2),
                Duration.ofMillis(250),
                Duration.ofSeconds(5),
                4 * 1024 * 1024,
                8 * 1024 * 1024,
                512);
    }
}
