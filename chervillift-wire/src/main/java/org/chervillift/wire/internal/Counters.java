package org.chervillift.wire.internal;

import java.util.concurrent.atomic.LongAdder;
import org.chervillift.wire.LinkCounters;

/** Counts what the links do. */
final class Counters {

    final LongAdder bytesSent = new LongAdder();
    final LongAdder bytesReceived = new LongAdder();
    final LongAdder framesSent = new LongAdder();
    final LongAdder framesReceived = new LongAdder();
    final LongAdder refused = new LongAdder();
    final LongAdder silent = new LongAdder();
    final LongAdder dropped = new LongAdder();

    LinkCounters snapshot(int linked) {
        return new LinkCounters(
                linked,
                bytesSent.sum(),
                bytesReceived.sum(),
                framesSent.sum(),
                framesReceived.sum(),
                refused.sum(),
                silent.sum(),
                dropped.sum());
    }
}
