package org.chervillift.daemon.requests;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;

/** A body that gives its bytes back to a budget when it is written, or will never be. */
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
