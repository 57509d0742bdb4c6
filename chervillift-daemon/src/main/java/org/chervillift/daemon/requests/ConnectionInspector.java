package org.chervillift.daemon.requests;

import io.activej.dns.protocol.DnsResponse;
import io.activej.http.HttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import java.net.InetSocketAddress;

/**
 * Tells each attempt of its connection.
 *
 * <p>The client tells of a new socket first, and of the connection made from it right after, in the
 * same step of the event loop; so the last socket is the one of that connection.
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
        // Nothing to tell.
    }

    @Override
    public void onRequestComplete(HttpResponse response, HttpClientConnection connection) {
        // Nothing to tell.
    }

    @Override
    public void onResolve(HttpRequest request, DnsResponse response) {
        // Nothing to tell.
    }

    @Override
    public void onResolveError(HttpRequest request, Exception fault) {
        // Nothing to tell.
    }

    @Override
    public void onConnecting(HttpRequest request, InetSocketAddress address) {
        // Nothing to tell.
    }

    @Override
    public void onConnectError(HttpRequest request, InetSocketAddress address, Exception fault) {
        // Nothing to tell.
    }

    @Override
    public void onHttpResponse(HttpResponse response) {
        // Nothing to tell.
    }

    @Override
    public void onHttpError(HttpClientConnection connection, Exception fault) {
        // Nothing to tell.
    }

    @Override
    public void onMalformedHttpResponse(
            HttpClientConnection connection, MalformedHttpException fault, byte[] content) {
        // Nothing to tell.
    }

    @Override
    public void onDisconnect(HttpClientConnection connection) {
        // Nothing to tell.
    }

    @Override
    public <T extends HttpClient.Inspector> T lookup(Class<T> type) {
        return type.isInstance(this) ? type.cast(this) : null;
    }
}
