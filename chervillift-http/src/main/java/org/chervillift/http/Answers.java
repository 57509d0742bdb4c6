package org.chervillift.http;

import static org.chervillift.http.HttpStatus.NOT_FOUND;
import static org.chervillift.http.HttpStatus.OK;

import io.activej.http.HttpError;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/** Builds the answers of our HTTP servers. */
public final class Answers {

    private Answers() {}

    /** Returns an answer with a value as JSON. */
    public static Promise<HttpResponse> json(Object value) {
        return json(OK, value);
    }

    /** Returns an answer with a status and a value as JSON. */
    public static Promise<HttpResponse> json(int status, Object value) {
        return HttpResponse.ofCode(status)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json; charset=utf-8")
                .withBody(Json.encode(value).getBytes(StandardCharsets.UTF_8))
                .toPromise();
    }

    /** Returns an answer with plain text. */
    public static Promise<HttpResponse> text(int status, String text) {
        return HttpResponse.ofCode(status).withPlainText(text).toPromise();
    }

    /** Returns the answer that explains an error. */
    public static Promise<HttpResponse> error(ErrorCode code, String detail) {
        return json(code.httpStatus(), new ErrorBody(code.number(), code.sentence(), detail));
    }

    /** Returns the answer that explains a failure. */
    public static Promise<HttpResponse> error(Throwable fault) {
        if (fault instanceof ChervilliftException e) {
            return error(e.code(), e.getMessage());
        }
        if (fault instanceof HttpError e && e.getCode() == NOT_FOUND) {
            return error(ErrorCode.NOT_FOUND, "There is no such path.");
        }
        return error(ErrorCode.INTERNAL, String.valueOf(fault.getMessage()));
    }
}
