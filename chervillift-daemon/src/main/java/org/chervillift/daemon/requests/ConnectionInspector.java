package org.chervillift.daemon.requests;

import io.activej.dns.protocol.DnsResponse;
import io.activej.http.HttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import java.net.InetSocketAddress;

/**
 * Notifies each attempt when its connection is established.
 *
 * <p>The client reports a new socket first and the connection on it right after, in the same event
 * loop iteration, so the last reported socket belongs to that connection.
 */
final class ConnectionInspector implements HttpClient.Inspector {

    private final SocketInspector sockets;

    ConnectionInspector(SocketInspector sockets) {
        this.sockets = sockets;
    }

    @Override
    public void onConnect(HttpRequest request, HttpClientConnection connection) {
        Attempt attempt = request.getAttachment(Attempt.class);
        if (attempt != null) {
            attempt.connected(sockets.takeLastSocket());
        }
    }

    @Override
    public void onRequest(HttpRequest request) {
        // Not used.
    }

    @Override
    public void onRequestComplete(HttpResponse response, HttpClientConnection connection) {
        // Not used.
    }

    @Override
    public void onResolve(HttpRequest request, DnsResponse response) {
        // Not used.
    }

    @Override
    public void onResolveError(HttpRequest request, Exception fault) {
        // Not used.
    }

    @Override
    public void onConnecting(HttpRequest request, InetSocketAddress address) {
        // Not used.
    }

    @Override
    public void onConnectError(HttpRequest request, InetSocketAddress address, Exception fault) {
        // Not used.
    }

    @Override
    public void onHttpResponse(HttpResponse response) {
        // Not used.
    }

    @Override
    public void onHttpError(HttpClientConnection connection, Exception fault) {
        // Not used.
    }

    @Override
    public void onMalformedHttpResponse(
            HttpClientConnection connection, MalformedHttpException fault, byte[] content) {
        // Not used.
    }

    @Override
    public void onDisconnect(HttpClientConnection connection) {
        // Not used.
    }

    @Override
    public <T extends HttpClient.Inspector> T lookup(Class<T> type) {
        return type.isInstance(this) ? type.cast(this) : null;
    }
}
