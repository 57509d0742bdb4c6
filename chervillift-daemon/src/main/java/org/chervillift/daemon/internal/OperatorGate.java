package org.chervillift.daemon.internal;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;
import org.chervillift.http.Answers;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Lets operators' requests through when they carry the operators' credential. */
public final class OperatorGate implements AsyncServlet {

    private static final String BEARER = "Bearer ";

    private static final int MOST_CREDENTIAL_LENGTH = 256;

    private final OperatorCredentials credentials;
    private final AsyncServlet routes;

    /** Creates a gate before routes. */
    public OperatorGate(OperatorCredentials credentials, AsyncServlet routes) {
        this.credentials = Checks.notNull("credentials", credentials);
        this.routes = Checks.notNull("routes", routes);
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) throws Exception {
        Optional<String> operator = operator(request.getHeader(HttpHeaders.AUTHORIZATION));
        if (operator.isEmpty()) {
            EventLog.log(DaemonEvent.OPERATOR_REFUSED, Field.of("path", request.getPath()));
            return Answers.error(ErrorCode.OPERATOR_REFUSED, "The request was not carried out.");
        }
        request.attach(new Operator(operator.get()));
        return routes.serve(request)
                .then((r, fault) -> fault == null ? Promise.of(r) : Answers.error(fault));
    }

    private Optional<String> operator(String header) {
        if (header == null || !header.startsWith(BEARER)) {
            return Optional.empty();
        }
        String credential = header.substring(BEARER.length());
        return credential.length() > MOST_CREDENTIAL_LENGTH
                ? Optional.empty()
                : credentials.operator(credential);
    }

    /**
     * Who sends a request.
     *
     * @param name the name that the settings give
     */
    public record Operator(String name) {

        /** Returns who sends a request that came through a gate. */
        public static Operator of(HttpRequest request) {
            return request.getAttachment(Operator.class);
        }
    }
}
