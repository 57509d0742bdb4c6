package org.chervillift.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/** Writes records as JSON text and reads them back. */
public final class Json {

    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .addModule(new Jdk8Module())
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private Json() {}

    /** Writes a value as JSON text. */
    public static String encode(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new ChervilliftException(
                    ErrorCode.INTERNAL, "A value cannot be written as JSON.", e);
        }
    }

    /**
     * Reads a value of a type from JSON text.
     *
     * @throws ChervilliftException with {@link ErrorCode#BAD_REQUEST} if the text does not fit
     */
    public static <T> T decode(String text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new ChervilliftException(ErrorCode.BAD_REQUEST, "The JSON text is null.");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new ChervilliftException(
                    ErrorCode.BAD_REQUEST,
                    "The JSON text is not a " + type.getSimpleName() + ".",
                    e);
        }
    }
}
