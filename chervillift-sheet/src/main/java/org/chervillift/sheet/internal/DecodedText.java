package org.chervillift.sheet.internal;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.Charset;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The text of a sheet and the encoding that it was read with.
 *
 * @param text the text without its byte-order mark
 * @param charset the name of the encoding
 */
public record DecodedText(String text, String charset) {

    private static final Charset WINDOWS_1252 = Charset.forName("windows-1252");
    private static final byte[] MARK_UTF_8 = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};
    private static final byte[] MARK_UTF_16_LE = {(byte) 0xFF, (byte) 0xFE};
    private static final byte[] MARK_UTF_16_BE = {(byte) 0xFE, (byte) 0xFF};

    /** Decodes bytes, or adds an error and returns nothing. */
    public static Optional<DecodedText> decode(byte[] bytes, ErrorList errors) {
        Optional<DecodedText> text = marked(bytes).or(() -> unmarked(bytes));
        if (text.isEmpty()) {
            errors.add(0, "", "bytes of no known text", "text in UTF-8, UTF-16 or Windows-1252");
            return text;
        }
        if (text.get().text().indexOf('\0') >= 0) {
            errors.add(0, "", "a zero character", "text in UTF-8, UTF-16 or Windows-1252");
            return Optional.empty();
        }
        return text;
    }

    private static Optional<DecodedText> marked(byte[] bytes) {
        if (startsWith(bytes, MARK_UTF_8)) {
            return strict(bytes, MARK_UTF_8.length, StandardCharsets.UTF_8);
        }
        if (startsWith(bytes, MARK_UTF_16_LE)) {
            return strict(bytes, MARK_UTF_16_LE.length, StandardCharsets.UTF_16LE);
        }
        if (startsWith(bytes, MARK_UTF_16_BE)) {
            return strict(bytes, MARK_UTF_16_BE.length, StandardCharsets.UTF_16BE);
        }
        return Optional.empty();
    }

    private static Optional<DecodedText> unmarked(byte[] bytes) {
        // A header starts with ASCII letters, so the place of the zero byte tells the byte order.
        if (bytes.length >= 2 && bytes[0] != 0 && bytes[1] == 0) {
            return strict(bytes, 0, StandardCharsets.UTF_16LE);
        }
        if (bytes.length >= 2 && bytes[0] == 0 && bytes[1] != 0) {
            return strict(bytes, 0, StandardCharsets.UTF_16BE);
        }
        // Names hold ASCII only, so a wrong guess can change no more than a note.
        return strict(bytes, 0, StandardCharsets.UTF_8).or(() -> strict(bytes, 0, WINDOWS_1252));
    }

    private static Optional<DecodedText> strict(byte[] bytes, int offset, Charset charset) {
        try {
            String text =
                    charset.newDecoder()
                            .onMalformedInput(CodingErrorAction.REPORT)
                            .onUnmappableCharacter(CodingErrorAction.REPORT)
                            .decode(ByteBuffer.wrap(bytes, offset, bytes.length - offset))
                            .toString();
            return Optional.of(new DecodedText(text, charset.name()));
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }

    private static boolean startsWith(byte[] bytes, byte[] mark) {
        if (bytes.length < mark.length) {
            return false;
        }
        for (int i = 0; i < mark.length; i++) {
            if (bytes[i] != mark[i]) {
                return false;
            }
        }
        return true;
    }
}
