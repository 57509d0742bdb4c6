package org.chervillift.bench.archive;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** Finds ports of the loopback address that nothing listens on. */
final class FreePorts {

    private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:(\\d+)");

    private FreePorts() {}

    /** Replaces the port of each loopback address by a free one; equal ports stay equal. */
    static String replacedIn(String text) {
        Map<String, String> addresses = new HashMap<>();
        return ADDRESS.matcher(text)
                .replaceAll(m -> addresses.computeIfAbsent(m.group(1), p -> address()));
    }

    /** Returns a loopback address with a free port. */
    static String address() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
