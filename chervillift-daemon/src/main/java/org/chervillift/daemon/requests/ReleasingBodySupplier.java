package org.chervillift.daemon.requests;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;

/** Supplies a response body and releases its memory once it is written or the stream closes. */
final class ReleasingBodySupplier extends AbstractChannelSupplier<ByteBuf> {

    private final UpstreamResponse reply;
    private boolean supplied;

    ReleasingBodySupplier(UpstreamResponse reply) {
        this.reply = reply;
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        if (supplied) {
            reply.release();
            return Promise.of(null);
        }
        supplied = true;
        return Promise.of(ByteBuf.wrapForReading(reply.body()));
    }

    @Override
    protected void onClosed(Exception fault) {
        reply.release();
    }
}
