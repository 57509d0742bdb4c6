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

/** Passes requests on only if they carry the credential of an operator. */
public final class OperatorAuthServlet implements AsyncServlet {

    private static final String BEARER_PREFIX = "Bearer ";

    private static final int MAX_CREDENTIAL_LENGTH = 256;

    private final OperatorCredentials credentials;
    private final AsyncServlet routes;

    /** Creates a servlet that passes authenticated requests to the given routes. */
    public OperatorAuthServlet(OperatorCredentials credentials, AsyncServlet routes) {
        this.credentials = Checks.notNull("credentials", credentials);
        this.routes = Checks.notNull("routes", routes);
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) throws Exception {
        Optional<String> operator = authenticate(request.getHeader(HttpHeaders.AUTHORIZATION));
        if (operator.isEmpty()) {
            EventLog.log(DaemonEvent.OPERATOR_REQUEST_REFUSED, Field.of("path", request.getPath()));
            return Answers.error(ErrorCode.OPERATOR_REFUSED, "The request was not executed.");
        }
        request.attach(new Operator(operator.get()));
        return routes.serve(request)
                .then((r, error) -> error == null ? Promise.of(r) : Answers.error(error));
    }

    private Optional<String> authenticate(String header) {
        if (header == null || !header.startsWith(BEARER_PREFIX)) {
            return Optional.empty();
        }
        String credential = header.substring(BEARER_PREFIX.length());
        return credential.length() > MAX_CREDENTIAL_LENGTH
                ? Optional.empty()
                : credentials.findOperator(credential);
    }

    /**
     * The operator who sent a request.
     *
     * @param name the name of the operator in the settings
     */
    public record Operator(String name) {

        /** Returns the operator of a request that this servlet has authenticated. */
        public static Operator of(HttpRequest request) {
            return request.getAttachment(Operator.class);
        }
    }
}
