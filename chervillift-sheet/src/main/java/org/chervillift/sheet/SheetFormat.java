package org.chervillift.sheet;

import org.chervillift.api.Checks;

/**
 * How the bytes of a sheet were understood.
 *
 * @param charset the encoding of the text
 * @param delimiter the character between two cells
 */
public record SheetFormat(String charset, char delimiter) {
    public SheetFormat {
        Checks.notBlank("charset", charset);
    }
}
