package org.chervillift.daemon.requests;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;

/**
 * Keeps the socket that was connected last.
 *
 * <p>Must be registered with the client as the inspector of both plain and TLS sockets, since
 * ActiveJ 6.0-rc2 reports plain sockets to the TLS inspector.
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
        // Not used.
    }

    @Override
    public void onRead(TcpSocket socket, ByteBuf buf) {
        // Not used.
    }

    @Override
    public void onReadEndOfStream(TcpSocket socket) {
        // Not used.
    }

    @Override
    public void onReadError(TcpSocket socket, IOException fault) {
        // Not used.
    }

    @Override
    public void onWriteTimeout(TcpSocket socket) {
        // Not used.
    }

    @Override
    public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {
        // Not used.
    }

    @Override
    public void onWriteError(TcpSocket socket, IOException fault) {
        // Not used.
    }

    @Override
    public void onDisconnect(TcpSocket socket) {
        // Not used.
    }

    @Override
    public <T extends TcpSocket.Inspector> T lookup(Class<T> type) {
        return type.isInstance(this) ? type.cast(this) : null;
    }
}
