package org.chervillift.sheet.internal;

import java.math.BigDecimal;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the typed cells of one row.
 *
 * <p>A cell that is refused adds an error and gives a stand-in value; the row then does not count.
 */
final class RowReader {

    private static final BigDecimal HUNDRED = BigDecimal.valueOf(100);
    private static final int MOST_DIGITS = 9;
    private static final Pattern WHOLE = Pattern.compile("[0-9]{1," + MOST_DIGITS + "}");
    private static final Pattern PERCENT =
            Pattern.compile("([0-9]{1,3}(?:[.,][0-9]{1,6})?)[\\s\\u00A0\\u202F]*%?");
    private static final Pattern PLAIN_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern ADDRESS =
            Pattern.compile(
                    "([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):" + "([0-9]{1,5})");
    private static final int MOST_BYTE = 255;
    private static final int MOST_PORT = 65_535;
    private static final int ADDRESS_BYTES = 4;
    private static final int PORT_GROUP = 5;

    // Spreadsheets write truth values in the language of their user.
    private static final Set<String> YES =
            Set.of("yes", "true", "ja", "wahr", "oui", "vrai", "sì", "si", "vero");
    private static final Set<String> NO =
            Set.of("no", "false", "nein", "falsch", "non", "faux", "falso");

    private final SheetRow row;
    private final RowKind kind;
    private final ErrorList errors;

    RowReader(SheetRow row, RowKind kind, ErrorList errors) {
        this.row = row;
        this.kind = kind;
        this.errors = errors;
    }

    /** Refuses cells of columns that this kind of row does not have. */
    void refuseForeignCells() {
        row.cells()
                .forEach(
                        (column, cell) -> {
                            if (!kind.uses(column)) {
                                refuse(column, "empty in a row of kind " + kind.word());
                            }
                        });
    }

    /** Reads a name of plain letters, which also travels in headers of requests. */
    String name(Column column) {
        String cell = row.cell(column);
        if (!PLAIN_NAME.matcher(cell).matches()) {
            refuse(
                    column,
                    "1 to 64 letters a to z, digits, dots, hyphens and underscores, the first one"
                            + " a letter or a digit");
            return "-";
        }
        return cell;
    }

    int whole(Column column, int least, int most) {
        String cell = row.cell(column);
        String allowed = "a whole number from " + least + " to " + most + ", digits only";
        if (!WHOLE.matcher(cell).matches()) {
            refuse(column, allowed);
            return least;
        }
        int value = Integer.parseInt(cell);
        if (value < least || value > most) {
            refuse(column, allowed);
            return least;
        }
        return value;
    }

    /** Reads a whole number of percent. */
    int wholePercent(Column column) {
        BigDecimal value = decimalPercent(column, "a whole number from 0 to 100");
        if (value.stripTrailingZeros().scale() > 0 || value.compareTo(HUNDRED) > 0) {
            refuse(column, "a whole number from 0 to 100");
            return 0;
        }
        return value.intValueExact();
    }

    /** Reads a percentage above 0 and below 100, with a decimal point or a decimal comma. */
    double percent(Column column) {
        String allowed = "a number above 0 and below 100";
        BigDecimal value = decimalPercent(column, allowed);
        if (value.signum() <= 0 || value.compareTo(HUNDRED) >= 0) {
            refuse(column, allowed);
            return 1;
        }
        return value.doubleValue();
    }

    boolean yesOrNo(Column column) {
        String cell = row.cell(column);
        if (isYes(cell)) {
            return true;
        }
        if (!NO.contains(cell.toLowerCase(Locale.ROOT))) {
            refuse(column, "yes or no");
        }
        return false;
    }

    static boolean isYes(String cell) {
        return YES.contains(cell.toLowerCase(Locale.ROOT));
    }

    String address(Column column) {
        Matcher m = ADDRESS.matcher(row.cell(column));
        if (!m.matches() || !inRange(m)) {
            refuse(column, "an IP number and a port, as 192.0.2.1:8080");
            return "-";
        }
        return row.cell(column);
    }

    void refuse(Column column, String allowed) {
        errors.add(row.number(), column.title(), row.cell(column), allowed);
    }

    private BigDecimal decimalPercent(Column column, String allowed) {
        Matcher m = PERCENT.matcher(row.cell(column));
        if (!m.matches()) {
            refuse(column, allowed);
            return BigDecimal.ONE;
        }
        return new BigDecimal(m.group(1).replace(',', '.'));
    }

    private static boolean inRange(Matcher address) {
        for (int i = 1; i <= ADDRESS_BYTES; i++) {
            if (Integer.parseInt(address.group(i)) > MOST_BYTE) {
                return false;
            }
        }
        int port = Integer.parseInt(address.group(PORT_GROUP));
        return port >= 1 && port <= MOST_PORT;
    }
}
