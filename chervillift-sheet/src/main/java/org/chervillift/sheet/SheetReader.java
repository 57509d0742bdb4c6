package org.chervillift.sheet;

import java.util.Optional;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.sheet.internal.ConfigAssembler;
import org.chervillift.sheet.internal.DecodedText;
import org.chervillift.sheet.internal.ErrorList;
import org.chervillift.sheet.internal.SheetTable;

/**
 * Reads a sheet as spreadsheets export it.
 *
 * <p>What is unambiguous is read; the rest is refused with every error at once.
 */
public final class SheetReader {

    /** The most bytes of a sheet. */
    public static final int MOST_BYTES = 4 * 1024 * 1024;

    /** The most errors that one answer lists. */
    public static final int MOST_ERRORS = 500;

    private SheetReader() {}

    /** Reads a sheet. */
    public static SheetResult read(byte[] bytes) {
        ErrorList errors = new ErrorList(MOST_ERRORS);
        if (bytes.length > MOST_BYTES) {
            errors.add(0, "", bytes.length + " bytes", "at most " + MOST_BYTES + " bytes");
            return errors.toRefused();
        }
        return DecodedText.decode(bytes, errors)
                .map(text -> readText(text, errors))
                .orElseGet(errors::toRefused);
    }

    private static SheetResult readText(DecodedText text, ErrorList errors) {
        Optional<SheetTable> table = SheetTable.parse(text.text(), errors);
        if (table.isEmpty()) {
            return errors.toRefused();
        }
        FleetConfig config = ConfigAssembler.assemble(table.get(), errors);
        if (errors.any()) {
            return errors.toRefused();
        }
        SheetFormat format = new SheetFormat(text.charset(), table.get().delimiter());
        return new SheetResult.Read(config, format);
    }
}
