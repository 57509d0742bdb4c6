package org.chervillift.runtime.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/**
 * An IP number and a port.
 *
 * @param host the IP number
 * @param port the port, 0 for any free one
 */
public record HostPort(String host, int port) {

    /** A number from 0 to 255. Text with a larger one would be looked up as a name. */
    private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";

    private static final Pattern IP_V4 =
            Pattern.compile("(" + OCTET + "(?:\\." + OCTET + "){3}):([0-9]{1,5})");
    private static final Pattern IP_V6 = Pattern.compile("\\[([0-9a-fA-F:]{2,39})]:([0-9]{1,5})");
    private static final int MOST_PORT = 65_535;

    public HostPort {
        Checks.notBlank("host", host);
        Checks.inRange("port", port, 0, MOST_PORT);
    }

    /**
     * Reads {@code 192.0.2.1:8080} or {@code [2001:db8::1]:8080}.
     *
     * @throws ChervilliftException with {@link ErrorCode#BAD_SETTING} if the text is neither
     */
    public static HostPort parse(String text) {
        Matcher m = IP_V4.matcher(text);
        if (!m.matches()) {
            m = IP_V6.matcher(text);
        }
        if (!m.matches()) {
            throw new ChervilliftException(
                    ErrorCode.BAD_SETTING, text + " is not an IP number with a port.");
        }
        try {
            InetAddress address = InetAddress.getByName(m.group(1));
            return new HostPort(address.getHostAddress(), Integer.parseInt(m.group(2)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new ChervilliftException(
                    ErrorCode.BAD_SETTING, text + " is not an IP number with a port.", e);
        }
    }

    /** Returns the address for a socket. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host.contains(":") ? "[" + host + "]:" + port : host + ":" + port;
    }
}
