package org.chervillift.daemon.requests;

import io.activej.http.HttpMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;

/** Says which headers go on from one side to the other. */
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

    /** Returns the headers of a caller that an upstream gets. */
    public static List<Header> toUpstream(HttpMessage request) {
        return select(request, name -> !CALLER_ONLY_HEADERS.contains(name));
    }

    /** Returns the headers of an upstream that the caller gets; the body is not compressed. */
    public static List<Header> toCaller(HttpMessage response) {
        return select(response, name -> !name.equals("content-encoding"));
    }

    private static List<Header> select(HttpMessage message, Predicate<String> wanted) {
        List<Header> headers = new ArrayList<>();
        message.getHeaders()
                .forEach(
                        e -> {
                            String name = e.getKey().toString();
                            String lower = name.toLowerCase(Locale.ROOT);
                            boolean goesOn =
                                    !HOP_BY_HOP_HEADERS.contains(lower)
                                            && !lower.startsWith(INTERNAL_PREFIX)
                                            && wanted.test(lower);
                            if (goesOn) {
                                headers.add(new Header(name, e.getValue().toString()));
                            }
                        });
        return headers;
    }
}
