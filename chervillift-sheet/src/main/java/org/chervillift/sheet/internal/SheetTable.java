package org.chervillift.sheet.internal;

import java.io.IOException;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/** The rows of a sheet by column, once delimiter and header are known. */
public final class SheetTable {

    /** The most rows of a sheet, the header and blank ones among them. */
    static final int MOST_ROWS = 20_000;

    /** The most columns of a sheet, trailing empty ones among them. */
    static final int MOST_COLUMNS = 256;

    private static final char[] DELIMITERS = {',', ';', '\t'};

    // Some programs put the delimiter into a line of its own before the header.
    private static final Pattern DELIMITER_LINE =
            Pattern.compile("\\A\"?sep=[,;\\t]\"?\\r?\\n", Pattern.CASE_INSENSITIVE);

    private final char delimiter;
    private final List<SheetRow> rows;

    private SheetTable(char delimiter, List<SheetRow> rows) {
        this.delimiter = delimiter;
        this.rows = List.copyOf(rows);
    }

    /** Returns the character between two cells. */
    public char delimiter() {
        return delimiter;
    }

    List<SheetRow> rows() {
        return rows;
    }

    /** Finds delimiter and header and splits the text, or adds errors and returns nothing. */
    public static Optional<SheetTable> parse(String text, ErrorList errors) {
        Matcher m = DELIMITER_LINE.matcher(text);
        boolean delimiterLine = m.find();
        String body = delimiterLine ? text.substring(m.end()) : text;
        int rowsBefore = delimiterLine ? 1 : 0;
        Optional<Character> found = findDelimiter(body);
        if (found.isEmpty()) {
            errors.add(
                    rowsBefore + 1,
                    "",
                    body.lines().findFirst().orElse(""),
                    "a header row with the columns kind and name, between commas, semicolons or"
                            + " tabs");
            return Optional.empty();
        }
        List<SheetRow> rows = readRows(body, found.get(), rowsBefore, errors);
        return Optional.of(new SheetTable(found.get(), rows));
    }

    private static Optional<Character> findDelimiter(String body) {
        List<Character> fitting = new ArrayList<>();
        for (char d : DELIMITERS) {
            if (hasHeader(body, d)) {
                fitting.add(d);
            }
        }
        return fitting.size() == 1 ? Optional.of(fitting.get(0)) : Optional.empty();
    }

    private static boolean hasHeader(String body, char delimiter) {
        try (CSVParser parser = parser(body, delimiter)) {
            for (CSVRecord record : parser) {
                if (!Cells.isBlank(record)) {
                    return Header.isHeader(record);
                }
            }
            return false;
        } catch (IOException | UncheckedIOException e) {
            return false;
        }
    }

    private static List<SheetRow> readRows(
            String body, char delimiter, int rowsBefore, ErrorList errors) {
        List<SheetRow> rows = new ArrayList<>();
        int number = rowsBefore;
        try (CSVParser parser = parser(body, delimiter)) {
            Header header = null;
            Iterator<CSVRecord> records = parser.iterator();
            while (records.hasNext()) {
                CSVRecord record = records.next();
                number++;
                if (!withinLimits(record, number, errors)) {
                    return rows;
                }
                if (Cells.isBlank(record)) {
                    continue;
                }
                if (header == null) {
                    header = Header.of(record, number, errors);
                } else {
                    rows.add(header.row(record, number, errors));
                }
            }
        } catch (IOException | UncheckedIOException e) {
            errors.add(number + 1, "", "a quote that does not close", "quotes in pairs");
        }
        return rows;
    }

    private static boolean withinLimits(CSVRecord record, int number, ErrorList errors) {
        if (number > MOST_ROWS) {
            errors.add(number, "", "row " + number, "at most " + MOST_ROWS + " rows");
            return false;
        }
        if (record.size() > MOST_COLUMNS) {
            errors.add(
                    number, "", record.size() + " cells", "at most " + MOST_COLUMNS + " columns");
            return false;
        }
        return true;
    }

    private static CSVParser parser(String body, char delimiter) throws IOException {
        CSVFormat format =
                CSVFormat.DEFAULT
                        .builder()
                        .setDelimiter(delimiter)
                        .setIgnoreEmptyLines(false)
                        .get();
        return CSVParser.builder().setReader(new StringReader(body)).setFormat(format).get();
    }
}
