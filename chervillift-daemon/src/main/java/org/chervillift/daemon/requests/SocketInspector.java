package org.chervillift.daemon.requests;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;

/**
 * Keeps the socket that was made last.
 *
 * <p>It has to be given to the client as inspector of both kinds of socket, since release 6.0-rc2
 * tells the one for TLS of plain sockets.
 */
final class SocketInspector implements TcpSocket.Inspector {

    private TcpSocket lastSocket;

    TcpSocket takeLastSocket() {
        TcpSocket socket = lastSocket;
        lastSocket = null;
        return socket;
    }

    @Override
    public void onConnect(TcpSocket socket) {
        lastSocket = socket;
    }

    @Override
    public void onReadTimeout(TcpSocket socket) {
        // Nothing to tell.
    }

    @Override
    public void onRead(TcpSocket socket, ByteBuf buf) {
        // Nothing to tell.
    }

    @Override
    public void onReadEndOfStream(TcpSocket socket) {
        // Nothing to tell.
    }

    @Override
    public void onReadError(TcpSocket socket, IOException fault) {
        // Nothing to tell.
    }

    @Override
    public void onWriteTimeout(TcpSocket socket) {
        // Nothing to tell.
    }

    @Override
    public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {
        // Nothing to tell.
    }

    @Override
    public void onWriteError(TcpSocket socket, IOException fault) {
        // Nothing to tell.
    }

    @Override
    public void onDisconnect(TcpSocket socket) {
        // Nothing to tell.
    }

    @Override
    public <T extends TcpSocket.Inspector> T lookup(Class<T> type) {
        return type.isInstance(this) ? type.cast(this) : null;
    }
}
