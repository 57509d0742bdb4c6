package org.chervillift.bench.archive;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Pattern;

/**
 * Finds ports of the loopback address that nothing listens on.
 *
 * <p>They lie below those that the system gives to outgoing connections, which could take a port
 * between its choice and its use.
 */
public final class FreePorts {

    private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:(\\d+)");
    private static final String HOST = "127.0.0.1";
    private static final int FIRST_PORT = 16_000;
    private static final int END_PORT = 32_000;

    private FreePorts() {}

    /** Replaces the port of each loopback address by a free one; equal ports stay equal. */
    public static String replacedIn(String text) {
        return replacedIn(text, Map.of());
    }

    /**
     * Replaces the port of each loopback address; equal ports stay equal.
     *
     * @param known the addresses for some of the ports; the others are replaced by free ones
     */
    public static String replacedIn(String text, Map<String, String> known) {
        Map<String, String> addresses = new HashMap<>(known);
        return ADDRESS.matcher(text)
                .replaceAll(m -> addresses.computeIfAbsent(m.group(1), p -> address()));
    }

    /** Returns a loopback address with a free port. */
    public static String address() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
            if (isFree(port)) {
                return HOST + ":" + port;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
            return socket.isBound();
        } catch (BindException e) {
            return false;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
