package org.chervillift.daemon.internal;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.Locale;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;
import org.chervillift.http.Answers;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Lets operators' requests through when they carry the operators' credential. */
public final class OperatorGate implements AsyncServlet {

    private static final String BEARER = "Bearer ";

    private final String credentialSha256;
    private final AsyncServlet routes;

    /** Creates a gate before routes. */
    public OperatorGate(String credentialSha256, AsyncServlet routes) {
        this.credentialSha256 =
                Checks.notBlank("credentialSha256", credentialSha256).toLowerCase(Locale.ROOT);
        this.routes = Checks.notNull("routes", routes);
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) throws Exception {
        String header = request.getHeader(HttpHeaders.AUTHORIZATION);
        boolean right =
                header != null
                        && header.startsWith(BEARER)
                        && Digests.equal(
                                Digests.sha256(header.substring(BEARER.length())),
                                credentialSha256);
        if (!right) {
            EventLog.log(DaemonEvent.OPERATOR_REFUSED, Field.of("path", request.getPath()));
            return Answers.error(ErrorCode.OPERATOR_REFUSED, "The request was not carried out.");
        }
        return routes.serve(request)
                .then((r, fault) -> fault == null ? Promise.of(r) : Answers.error(fault));
    }
}
