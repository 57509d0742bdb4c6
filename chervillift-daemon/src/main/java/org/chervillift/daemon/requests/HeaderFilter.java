package org.chervillift.daemon.requests;

import io.activej.http.HttpMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;

/** Selects the headers that are forwarded between caller and upstream. */
public final class HeaderFilter {

    private static final String INTERNAL_PREFIX = "chervillift-";
    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length");
    private static final Set<String> CALLER_ONLY_HEADERS =
            Set.of("authorization", "host", "expect", "accept-encoding", "idempotency-key");

    private HeaderFilter() {}

    /** Returns the caller's headers that are forwarded to an upstream. */
    public static List<Header> toUpstream(HttpMessage request) {
        return select(request, name -> !CALLER_ONLY_HEADERS.contains(name));
    }

    /** Returns the upstream's headers to forward to the caller; the body is sent uncompressed. */
    public static List<Header> toCaller(HttpMessage response) {
        return select(response, name -> !name.equals("content-encoding"));
    }

    private static List<Header> select(HttpMessage message, Predicate<String> isForwardedName) {
        List<Header> headers = new ArrayList<>();
        message.getHeaders()
                .forEach(
                        e -> {
                            String name = e.getKey().toString();
                            String lowerCaseName = name.toLowerCase(Locale.ROOT);
                            boolean isForwarded =
                                    !HOP_BY_HOP_HEADERS.contains(lowerCaseName)
                                            && !lowerCaseName.startsWith(INTERNAL_PREFIX)
                                            && isForwardedName.test(lowerCaseName);
                            if (isForwarded) {
                                headers.add(new Header(name, e.getValue().toString()));
                            }
                        });
        return headers;
    }
}
