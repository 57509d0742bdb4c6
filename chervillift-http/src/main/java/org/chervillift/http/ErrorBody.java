package org.chervillift.http;

/**
 * The body of an answer that reports an error.
 *
 * @param code the number of the error
 * @param sentence the plain sentence of the error
 * @param detail what was found
 */
public record ErrorBody(int code, String sentence, String detail) {}
